"""What is stored of a zone's losses: when, what ran there, and what became of each task.

One value for each zone under `b/zone/<name>`, written by the leader and read by the next leader and by
operators. Its size has a bound: the newest losses are stored task by task, older ones in numbers alone.
"""

from collections.abc import Mapping
from typing import Any

import msgspec

from bayford.storage import records
from bayford.storage.task_ranges import decode_ranges

VERSION = 1
MAX_LOSSES = 8  # that are stored of a zone

# Outcomes of tasks as they are stored and reported.
OPEN, FINISHED, RERUN, CANCELLED, ENDED_UNSEEN = "open", "finished", "again", "cancelled", "over"


class UnreadableRecordError(Exception):
    """A stored value that is not a zone's record of this form. Callers treat it as absent."""


class RerunTask(msgspec.Struct, array_like=True):
    """A task that was run again, and the machine that it went to."""

    task: int
    machine: str


class Loss(msgspec.Struct, omit_defaults=True):
    """One loss. Times of day, 0: not yet. Tasks by job, as ranges (`task_log.ranges`)."""

    suspected: float
    lost: float = 0.0
    returned: float = 0.0
    open: dict[str, list[int]] = {}  # neither ended nor run again
    finished: dict[str, list[int]] = {}  # there, although the zone was lost
    rerun: dict[str, list[RerunTask]] = msgspec.field(name=RERUN, default_factory=dict)
    cancelled: dict[str, list[int]] = {}
    # Ended between two leaders: where, neither of them saw.
    ended_unseen: dict[str, list[int]] = msgspec.field(name=ENDED_UNSEEN, default_factory=dict)
    counts: dict[str, int] = {}  # by outcome, of tasks that are not stored one by one any more

    def totals(self) -> dict[str, int]:
        """How many tasks had which outcome, by its stored name."""
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

    def brief(self) -> "Loss":
        """The same in numbers. Open tasks stay one by one, for the next leader has to follow them."""
        totals = self.totals()
        totals.pop(OPEN)
        return Loss(
            suspected=self.suspected, lost=self.lost, returned=self.returned, open=self.open, counts=totals
        )


class ZoneRecord(msgspec.Struct):
    """A zone's state and its losses, the newest last."""

    zone: str
    state: str
    since: float  # time of day
    flaps: int = 0
    losses: list[Loss] = []
    form: int = msgspec.field(name="v", default=VERSION)  # of the stored value


def key(zone: str) -> str:
    """The key of a zone's record."""
    return records.ZONES + zone


def encode(record: ZoneRecord, max_bytes: int) -> Any:
    """The value, in at most `max_bytes`: older losses first lose their details, then are dropped; last of all
    the open tasks of the newest loss are only counted."""
    losses = record.losses[-MAX_LOSSES:]
    brief = 0  # so many of the oldest are stored in numbers
    while True:
        stored = [loss.brief() if n < brief else loss for n, loss in enumerate(losses)]
        value = msgspec.to_builtins(msgspec.structs.replace(record, losses=stored))
        if records.size(value) <= max_bytes:
            return value
        if brief < len(losses):
            brief += 1
        elif len(losses) > 1:
            losses = losses[1:]
            brief = len(losses)
        else:
            last = losses[0].brief()
            counted = msgspec.structs.replace(last, open={}, counts=losses[0].totals())
            return msgspec.to_builtins(msgspec.structs.replace(record, losses=[counted]))


def decode(value: Any) -> ZoneRecord:
    """A record from its value. UnreadableRecordError: it is not a zone's record of this form."""
    try:
        record = msgspec.convert(value, ZoneRecord)
    except msgspec.ValidationError as error:
        raise UnreadableRecordError(f"not a zone's record: {error}") from error
    if record.form != VERSION:
        raise UnreadableRecordError(f"a zone's record of version {record.form}")
    return record
