"""How a job lies in the state service.

One record a job, under `b/j/<id>`: what the user asked for and what must outlive every controller, which
is the done tasks, the open placements, the next attempt number and the cancellation. A record that is
longer than the service's limit for a value goes into pieces `b/j/<id>.1`, `.2`, …; every write of a job
touches piece 0, so the stamp of piece 0 guards the whole.
"""

import base64
import re
from typing import Any

import msgspec
import orjson

from bayford.scheduling.model import JobSpec

PREFIX = "b/"
JOBS = "b/j/"
MAP = "b/map"
MEMBERS = "b/member/"
RELAYS = "b/relay/"
SUMMARIES = "b/sum/"

Open = dict[str, list[list[int]]]  # "machine session" -> [task, attempt] pairs


class Record(msgspec.Struct):
    """A decoded job record."""

    spec: JobSpec
    created: float  # time of day, for deadlines
    cancelled: float = 0.0  # time of day of the cancellation, 0 if there is none
    next_attempt: int = 1
    done: list[int] = []  # ranges: first, last, first, last, …
    open: Open = {}

    @property
    def done_count(self) -> int:
        """How many tasks are done."""
        return sum(last - first + 1 for first, last in zip(self.done[::2], self.done[1::2], strict=True))

    @property
    def finished(self) -> bool:
        """All tasks done."""
        return self.done_count == self.spec.tasks


def ranges(tasks: set[int]) -> list[int]:
    """A set of task numbers as first, last, first, last, …"""
    out: list[int] = []
    for task in sorted(tasks):
        if out and out[-1] == task - 1:
            out[-1] = task
        else:
            out += (task, task)
    return out


def unrange(flat: list[int]) -> set[int]:
    """The inverse of `ranges`."""
    out: set[int] = set()
    for first, last in zip(flat[::2], flat[1::2], strict=True):
        out.update(range(first, last + 1))
    return out


def _pack_done(flat: list[int], tasks: int) -> list[int] | str:
    """Ranges, or a bit map where so many gaps make the ranges longer than it."""
    if len(flat) * 5 <= tasks // 6:
        return flat
    if len(flat) <= 40:
        return flat
    bits = bytearray((tasks + 7) // 8)
    for task in unrange(flat):
        bits[task >> 3] |= 1 << (task & 7)
    return base64.b85encode(bytes(bits)).decode()


def _unpack_done(packed: list[int] | str) -> list[int]:
    if not isinstance(packed, str):
        return packed
    bits = base64.b85decode(packed)
    return ranges({n for n in range(len(bits) * 8) if bits[n >> 3] >> (n & 7) & 1})


def key(job_id: str) -> str:
    """The key of a job's piece 0."""
    return JOBS + job_id


def encode(record: Record, value_bytes: int) -> list[tuple[str, Any]]:
    """The keys and values of a record: one, or as many pieces as its length needs."""
    body = [
        record.spec,
        record.created,
        record.cancelled,
        record.next_attempt,
        _pack_done(record.done, record.spec.tasks),
        record.open,
    ]
    text = orjson.dumps(msgspec.to_builtins(body))
    base = key(record.spec.id)
    if len(text) + 64 <= value_bytes:
        return [(base, orjson.loads(text))]
    # Base 85 has no character that JSON escapes but the quote and backslash, which it leaves out.
    room = value_bytes - 64
    packed = base64.b85encode(text).decode()
    parts = [packed[at : at + room] for at in range(0, len(packed), room)]
    rows: list[tuple[str, Any]] = [(base, {"pieces": len(parts), "text": parts[0]})]
    rows += [(f"{base}.{n}", part) for n, part in enumerate(parts[1:], 1)]
    return rows


def pieces(value: Any) -> int:
    """How many keys the record with this piece 0 has."""
    return int(value["pieces"]) if isinstance(value, dict) else 1


def decode(base: Any, rest: list[Any]) -> Record:
    """A record from piece 0 and the others in order."""
    if isinstance(base, dict):
        base = orjson.loads(base64.b85decode(base["text"] + "".join(rest)))
    spec, created, cancelled, next_attempt, done, open_ = base
    return Record(
        msgspec.convert(spec, JobSpec, strict=False),
        float(created),
        float(cancelled),
        int(next_attempt),
        _unpack_done(done),
        open_,
    )


_PIECE = re.compile(r"\.\d+$")


def is_piece(job_key: str) -> bool:
    """Whether a key below JOBS is a later piece. Ids hold no dots."""
    return _PIECE.search(job_key) is not None
