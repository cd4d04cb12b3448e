"""Limits how often migrations restart a task, by job class.

The counts of past migrations survive a failover: a count is made durable before its task is stopped. Each
job's counts have their own key, which releases without this feature ignore. A count can therefore be one too
high, if the leader could no longer begin the migration after it stored the count, but never too low.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

VERSION = 1
EMPTY_VALUE_BYTES = 16  # size of a stored value without any counts
MAX_ENTRY_BYTES = 16  # maximum size of one task's count in a stored value


class UnreadableCountsError(Exception):
    """A stored value can't be read by this release. The tasks of its job are not migrated."""


class StoredCounts(msgspec.Struct):
    """The stored counts of one job: pairs of task and number of migrations."""

    v: int
    t: list[tuple[int, int]]


class RestartBudget:
    """Counts the migrations of each job's tasks. Callers must hold the lock of the leader's state."""

    def __init__(self, limits: Mapping[str, int], default_limit: int, value_bytes: int = 1 << 20) -> None:
        """`limits`: restarts that a task may have, by job class. `default_limit`: for all other classes."""
        self._limits = dict(limits)
        self._default_limit = default_limit
        self._max_tasks = max(0, value_bytes - EMPTY_VALUE_BYTES) // MAX_ENTRY_BYTES
        self._counts: dict[str, dict[int, int]] = {}
        self._unreadable: set[str] = set()

    def limit(self, job_class: str) -> int:
        """Returns how often migrations may restart a task of the class."""
        return self._limits.get(job_class, self._default_limit)

    def used(self, job_id: str, task: int) -> int:
        """Returns how often the task has been migrated."""
        return self._counts.get(job_id, {}).get(task, 0)

    def allows(self, job_id: str, job_class: str, task: int) -> bool:
        """Returns whether the budget allows one more migration of the task."""
        if job_id in self._unreadable:
            return False
        counts = self._counts.get(job_id, {})
        if task not in counts and len(counts) >= self._max_tasks:
            return False  # one more count would exceed the maximum size of a stored value
        return counts.get(task, 0) < self.limit(job_class)

    def record_migration(self, job_id: str, task: int) -> None:
        """Count a migration of the task that is about to begin."""
        counts = self._counts.setdefault(job_id, {})
        counts[task] = counts.get(task, 0) + 1

    def remove_job(self, job_id: str) -> None:
        """Drop the counts of a job that has ended."""
        self._counts.pop(job_id, None)
        self._unreadable.discard(job_id)

    def has_counts(self, job_id: str) -> bool:
        """Returns whether there may be a stored value for the job."""
        return job_id in self._counts or job_id in self._unreadable

    def encode(self, job_id: str) -> dict[str, Any]:
        """Returns the value to store for the job."""
        return {"v": VERSION, "t": sorted([task, count] for task, count in self._counts[job_id].items())}

    def load(self, job_id: str, value: Any) -> None:
        """Load the stored counts of the job.

        Raises UnreadableCountsError if the value can't be read. No task of the job is then migrated.
        """
        try:
            stored = msgspec.convert(value, StoredCounts)
        except msgspec.ValidationError as error:
            self._unreadable.add(job_id)
            raise UnreadableCountsError(f"unreadable migration counts of job {job_id}: {error}") from error
        if stored.v != VERSION or any(count < 0 for _, count in stored.t):
            self._unreadable.add(job_id)
            raise UnreadableCountsError(f"invalid migration counts of job {job_id}: version {stored.v}")
        self._counts[job_id] = dict(stored.t)
