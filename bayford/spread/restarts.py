"""How often tasks have been restarted by migrations, and how often their class allows it.

The counts outlive a leader: one is durable before the task that it counts is stopped, under a key of its own
for each job, which releases that know nothing of it pass over. A count may thus be one too high, for a
migration that a leader could not begin any more, and never too low.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

VERSION = 1
EMPTY_VALUE_BYTES = 16  # of a value, beside its counts
MAX_ENTRY_BYTES = 16  # of a task's count


class UnreadableCountsError(Exception):
    """A stored value that this release can't read. Tasks of its job are not migrated."""


class StoredCounts(msgspec.Struct):
    """The counts of one job as they are stored: pairs of task and number of migrations."""

    v: int
    t: list[tuple[int, int]]


class RestartBudget:
    """The migrations of each job's tasks so far. Called under the lock of the leader's state."""

    def __init__(self, allowed: Mapping[str, int], otherwise: int, value_bytes: int = 1 << 20) -> None:
        """`allowed`: restarts of a task by its class, `otherwise` for classes not named there."""
        self._allowed = dict(allowed)
        self._otherwise = otherwise
        self._max_tasks = max(0, value_bytes - EMPTY_VALUE_BYTES) // MAX_ENTRY_BYTES
        self._counts: dict[str, dict[int, int]] = {}
        self._unreadable: set[str] = set()

    def limit(self, job_class: str) -> int:
        """How often a task of the class may be restarted by migrations."""
        return self._allowed.get(job_class, self._otherwise)

    def used(self, job_id: str, task: int) -> int:
        """How often the task has been migrated."""
        return self._counts.get(job_id, {}).get(task, 0)

    def allows(self, job_id: str, job_class: str, task: int) -> bool:
        """Whether one more migration of the task is within the budget."""
        if job_id in self._unreadable:
            return False
        counts = self._counts.get(job_id, {})
        if task not in counts and len(counts) >= self._max_tasks:
            return False  # one more would not fit into a value
        return counts.get(task, 0) < self.limit(job_class)

    def note(self, job_id: str, task: int) -> None:
        """The task is about to be migrated."""
        counts = self._counts.setdefault(job_id, {})
        counts[task] = counts.get(task, 0) + 1

    def forget(self, job_id: str) -> None:
        """The job is over."""
        self._counts.pop(job_id, None)
        self._unreadable.discard(job_id)

    def knows(self, job_id: str) -> bool:
        """Whether there is anything stored of the job."""
        return job_id in self._counts or job_id in self._unreadable

    def encode(self, job_id: str) -> dict[str, Any]:
        """The value to store."""
        return {"v": VERSION, "t": sorted([task, count] for task, count in self._counts[job_id].items())}

    def load(self, job_id: str, value: Any) -> None:
        """Take in what is stored.

        Raises UnreadableCountsError if the value can't be read: the job counts as at its limit from now on.
        """
        try:
            stored = msgspec.convert(value, StoredCounts)
        except msgspec.ValidationError as error:
            self._unreadable.add(job_id)
            raise UnreadableCountsError(f"migration counts of job {job_id}: {error}") from error
        if stored.v != VERSION or any(count < 0 for _, count in stored.t):
            self._unreadable.add(job_id)
            raise UnreadableCountsError(f"migration counts of job {job_id}: version {stored.v}")
        self._counts[job_id] = dict(stored.t)
