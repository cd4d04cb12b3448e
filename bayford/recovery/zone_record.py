"""What is stored of a zone's losses: when, what ran there, and what became of each task.

One value for each zone under `b/zone/<name>`, written by the leader and read by the next one and by
operators. It has a bound: the newest losses are told in full, older ones in numbers alone.
"""

from typing import Any

import msgspec

from bayford.storage import records
from bayford.storage.task_ranges import decode_ranges

VERSION = 1
MOST_LOSSES = 8


class UnreadableRecordError(Exception):
    """A stored value that is not ours: treated as absent."""


class Elsewhere(msgspec.Struct, array_like=True):
    """A task that was run again, and the machine that it went to."""

    task: int
    machine: str


class Loss(msgspec.Struct, omit_defaults=True):
    """One loss. Times of day; tasks by job, as ranges; 0 and empty: not yet, or not any more."""

    suspected: float
    lost: float = 0.0
    returned: float = 0.0
    open: dict[str, list[int]] = {}  # neither ended nor run again
    finished: dict[str, list[int]] = {}  # there, although the zone was lost
    again: dict[str, list[Elsewhere]] = {}
    cancelled: dict[str, list[int]] = {}
    over: dict[str, list[int]] = {}  # when the next leader began: where they ended, nobody saw
    counts: dict[str, int] = {}  # of those above, where they are not told one by one any more

    def totals(self) -> dict[str, int]:
        """How many tasks had which fate."""
        out = dict(self.counts)
        for name in ("open", "finished", "cancelled", "over"):
            tasks = sum(1 for flat in getattr(self, name).values() for _ in decode_ranges(flat))
            out[name] = out.get(name, 0) + tasks
        out["again"] = out.get("again", 0) + sum(len(found) for found in self.again.values())
        return out

    def brief(self) -> "Loss":
        """The same in numbers. What is open stays, for the next leader has to follow it."""
        totals = self.totals()
        totals.pop("open")
        return Loss(self.suspected, self.lost, self.returned, self.open, counts=totals)


class ZoneRecord(msgspec.Struct):
    """A zone's state and its losses, the newest last."""

    zone: str
    state: str
    since: float  # time of day
    flaps: int = 0
    losses: list[Loss] = []
    v: int = VERSION


def key(zone: str) -> str:
    """The key of a zone's record."""
    return records.ZONES + zone


def encode(record: ZoneRecord, most: int) -> Any:
    """The value, in at most `most` bytes: older losses first lose their details, then go; last of all the
    newest one's open tasks are only counted."""
    losses = record.losses[-MOST_LOSSES:]
    brief = 0
    while True:
        told = [loss.brief() if n < brief else loss for n, loss in enumerate(losses)]
        value = msgspec.to_builtins(msgspec.structs.replace(record, losses=told))
        if records.size(value) <= most:
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
    """A record from its value."""
    try:
        record = msgspec.convert(value, ZoneRecord)
    except msgspec.ValidationError as bad:
        raise UnreadableRecordError(f"not a zone's record: {bad}") from bad
    if record.v != VERSION:
        raise UnreadableRecordError(f"a zone's record of version {record.v}")
    return record
