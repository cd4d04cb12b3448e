"""One row of the task log: its stored form, and the layout that all rows of a log share.

The letters of the stored fields are those that the first release wrote, and are mapped to names here and
nowhere else. No field may be added: older releases refuse a row with a field that they don't know.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from bayford.storage.records import UnreadableError

HEAD_BYTES = 192  # a value without its entries, at the longest
ENTRY_BYTES = 24  # a task's entry in a row, at the longest that is usual
MACHINE_NAME_BYTES = 16  # the name of the entry's machine
MIN_BLOCK_SIZE = 4


class Block(NamedTuple):
    """A run of one job's task numbers, `block_size` long. Snapshots are taken of whole blocks."""

    job: str
    number: int


class MachineEpoch(NamedTuple):
    """A machine in one of its epochs."""

    machine: str
    epoch: int


class TaskPlacement(NamedTuple):
    """Where the task log has a task: the attempt at it, and the machine with its epoch."""

    attempt: int
    machine: str
    epoch: int


class BlockSnapshot(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A block of tasks as it was before the row. Tasks that are not named are neither placed nor done."""

    job: str
    number: int
    done: list[int]  # as ranges
    placed: list[int]  # see `StoredRow`


class StoredRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A row as it is stored. The order of the fields is the order in the stored value.

    Tasks on machines are flat lists of task, attempt and index into `machines`, three numbers a task: a value
    is a few KiB, and names and brackets would take half of it. `decode_placed` reads them.
    """

    number: int = msgspec.field(name="n")
    tail: int = msgspec.field(name="t")  # of the log when the row was written
    next_attempt: int = msgspec.field(name="a")
    machines: list[MachineEpoch] = msgspec.field(name="m", default_factory=list)
    placed: dict[str, list[int]] = msgspec.field(name="o", default_factory=dict)  # by job
    done: dict[str, list[int]] = msgspec.field(name="d", default_factory=dict)  # task numbers by job
    # Task numbers by job, of tasks that are neither on a machine any more nor done.
    closed: dict[str, list[int]] = msgspec.field(name="c", default_factory=dict)
    ended_jobs: list[str] = msgspec.field(name="x", default_factory=list)  # nothing of them is on any machine
    snapshots: list[BlockSnapshot] = msgspec.field(name="s", default_factory=list)


def encode_row(row: StoredRow) -> Any:
    """The value of a row, without its empty fields."""
    return msgspec.to_builtins(row)


def decode_row(slot: str, value: Any) -> StoredRow:
    """The row in a slot; UnreadableError for a value that is none."""
    try:
        return msgspec.convert(value, StoredRow)
    except msgspec.ValidationError as error:
        raise UnreadableError(f"{slot}: not a row of the task log: {error}") from error


def decode_placed(placed: list[int]) -> Iterator[tuple[int, int, int]]:
    """Task, attempt and index of the machine, of each entry of a row's flat list of placed tasks."""
    return zip(placed[::3], placed[1::3], placed[2::3], strict=True)


def block_size(value_bytes: int) -> int:
    """Tasks in a block, so that a snapshot of one takes a third of a value of this size at the most."""
    return max(MIN_BLOCK_SIZE, (value_bytes - HEAD_BYTES) // 3 // (ENTRY_BYTES + MACHINE_NAME_BYTES))


def tasks_of_block(number: int, size: int) -> range:
    """The task numbers of a block."""
    return range(number * size, (number + 1) * size)
