"""The stored record of a zone's losses: their times, the tasks that were there, and each task's outcome.

There is one value per zone under `b/zone/<name>`. The leader writes it; the next leader and operators read
it. Its size is limited: if necessary, older losses are stored as counts of tasks instead of lists.
"""

import itertools
from collections.abc import Mapping
from typing import Any

import msgspec

from bayford.storage import records
from bayford.storage.task_ranges import decode_ranges

VERSION = 1
MAX_LOSSES = 8  # maximum number of losses stored per zone
MAX_TASKS = 100_000  # of a job, by PROTOCOL

# Names of the task outcomes, as stored and reported.
OPEN, FINISHED, RERUN, CANCELLED, ENDED_UNSEEN = "open", "finished", "again", "cancelled", "over"


class UnreadableRecordError(Exception):
    """Raised for a stored value that is not a zone record of this version. Callers treat it as absent."""


class RerunTask(msgspec.Struct, array_like=True):
    """A task that was placed again, and the machine that it was placed on."""

    task: int
    machine: str


class Loss(msgspec.Struct, omit_defaults=True):
    """One loss of a zone.

    Times are times of day in seconds, 0 if the event has not occurred. Tasks are listed by job id, as ranges
    (`task_ranges.encode_ranges`).
    """

    suspected: float
    lost: float = 0.0
    returned: float = 0.0
    open: dict[str, list[int]] = {}  # neither ended nor placed again
    finished: dict[str, list[int]] = {}  # finished in the lost zone
    rerun: dict[str, list[RerunTask]] = msgspec.field(name=RERUN, default_factory=dict)
    cancelled: dict[str, list[int]] = {}
    # Ended between two terms: neither leader learned on which machine.
    ended_unseen: dict[str, list[int]] = msgspec.field(name=ENDED_UNSEEN, default_factory=dict)
    counts: dict[str, int] = {}  # by outcome; tasks that are no longer listed individually
    # Attempts from this number on were placed after the loss. 0 in records of releases that did not store it.
    next_attempt: int = msgspec.field(name="next", default=0)

    def totals(self) -> dict[str, int]:
        """Returns the number of tasks by outcome, under the outcome's stored name."""
        totals = dict(self.counts)
        by_outcome: Mapping[str, dict[str, list[int]]] = {
            OPEN: self.open,
            FINISHED: self.finished,
            CANCELLED: self.cancelled,
            ENDED_UNSEEN: self.ended_unseen,
        }
        for outcome, ranges_by_job in by_outcome.items():
            tasks = sum(1 for ranges in ranges_by_job.values() for _ in decode_ranges(ranges))
            totals[outcome] = totals.get(outcome, 0) + tasks
        totals[RERUN] = totals.get(RERUN, 0) + sum(len(tasks) for tasks in self.rerun.values())
        return totals

    def summarize(self) -> "Loss":
        """Returns the loss with its tasks replaced by counts.

        Open tasks stay listed, since the next leader has to track them.
        """
        totals = self.totals()
        totals.pop(OPEN)
        return Loss(
            suspected=self.suspected,
            lost=self.lost,
            returned=self.returned,
            open=self.open,
            counts=totals,
            next_attempt=self.next_attempt,
        )


class ZoneRecord(msgspec.Struct):
    """A zone's state and its losses, newest last."""

    zone: str
    state: str
    since: float  # time of day
    flaps: int = 0
    losses: list[Loss] = []
    form: int = msgspec.field(name="v", default=VERSION)  # version of the stored format


def key(zone: str) -> str:
    """Returns the key of a zone's record."""
    return records.ZONES + zone


def encode(record: ZoneRecord, max_bytes: int) -> Any:
    """Returns the value to store, reduced to at most `max_bytes`.

    The losses are first replaced by their summaries, oldest first. Then the oldest losses are dropped. As the
    last resort the open tasks of the newest loss are only counted.
    """
    losses = record.losses[-MAX_LOSSES:]
    summarized = 0  # number of losses that are summarized, oldest first
    while True:
        stored = [loss.summarize() if n < summarized else loss for n, loss in enumerate(losses)]
        value = msgspec.to_builtins(msgspec.structs.replace(record, losses=stored))
        if records.encoded_size(value) <= max_bytes:
            return value
        if summarized < len(losses):
            summarized += 1
        elif len(losses) > 1:
            losses = losses[1:]
            summarized = len(losses)
        else:
            last = losses[0].summarize()
            counted = msgspec.structs.replace(last, open={}, counts=losses[0].totals())
            return msgspec.to_builtins(msgspec.structs.replace(record, losses=[counted]))


def decode(value: Any) -> ZoneRecord:
    """Decodes a stored value. Raises UnreadableRecordError if it is not a zone record of this version."""
    try:
        record = msgspec.convert(value, ZoneRecord)
    except msgspec.ValidationError as error:
        raise UnreadableRecordError(f"not a zone's record: {error}") from error
    if record.form != VERSION:
        raise UnreadableRecordError(f"a zone's record of version {record.form}")
    for loss in record.losses:
        for ranges_by_job in (loss.open, loss.finished, loss.cancelled, loss.ended_unseen):
            for job_id, ranges in ranges_by_job.items():
                if not _are_task_ranges(ranges):
                    raise UnreadableRecordError(f"not ranges of tasks: job={job_id} ranges={ranges}")
    return record


def _are_task_ranges(ranges: list[int]) -> bool:
    """Returns whether the list is pairs of first and last task, in ascending order."""
    is_ascending = all(first <= last for first, last in itertools.pairwise([0, *ranges, MAX_TASKS - 1]))
    return len(ranges) % 2 == 0 and is_ascending
