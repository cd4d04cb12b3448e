"""The stored form of a row of the task log, and the layout that all rows of a log share.

The one-letter names of the stored fields are those of the first release; only this module maps them to
descriptive names. No field may be added, since older releases reject a row with an unknown field.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from bayford.storage.records import UnreadableError

MAX_HEADER_BYTES = 192  # upper bound of a row's size without its entries
ENTRY_BYTES = 24  # usual upper bound of a task's entry, without names
MACHINE_NAME_BYTES = 16  # usual upper bound of a machine's name
MIN_BLOCK_SIZE = 4


class Block(NamedTuple):
    """A run of `block_size` consecutive task numbers of one job. A snapshot always covers a whole block."""

    job: str
    number: int


class MachineEpoch(NamedTuple):
    """A machine and one of its epochs."""

    machine: str
    epoch: int


class TaskPlacement(NamedTuple):
    """The placement of a task in the task log: its attempt, and the machine and epoch."""

    attempt: int
    machine: str
    epoch: int


class BlockSnapshot(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The state of a block before the row. Tasks that are not listed are neither placed nor done."""

    job: str
    number: int
    done: list[int]  # task numbers as ranges, see `task_ranges`
    placed: list[int]  # flat list, see `StoredRow`


class StoredRow(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """The stored form of a row. The order of the fields is the order in the stored value.

    Placed tasks are stored as flat lists with three numbers per task: task, attempt and index into
    `machines`. A value is limited to a few KiB, and names and brackets would take half of that.
    `decode_placed` decodes these lists.
    """

    number: int = msgspec.field(name="n")
    tail: int = msgspec.field(name="t")  # the log's tail when the row was written
    next_attempt: int = msgspec.field(name="a")
    machines: list[MachineEpoch] = msgspec.field(name="m", default_factory=list)
    placed: dict[str, list[int]] = msgspec.field(name="o", default_factory=dict)  # by job
    done: dict[str, list[int]] = msgspec.field(name="d", default_factory=dict)  # task numbers by job
    # Task numbers by job: tasks that left their machine without being done.
    closed: dict[str, list[int]] = msgspec.field(name="c", default_factory=dict)
    ended_jobs: list[str] = msgspec.field(name="x", default_factory=list)  # they have no tasks on any machine
    snapshots: list[BlockSnapshot] = msgspec.field(name="s", default_factory=list)


def encode_row(row: StoredRow) -> Any:
    """Return the value of a row, without empty fields."""
    return msgspec.to_builtins(row)


def decode_row(slot: str, value: Any) -> StoredRow:
    """Return the row in a slot. Raises UnreadableError if the value is not a row."""
    try:
        return msgspec.convert(value, StoredRow)
    except msgspec.ValidationError as error:
        raise UnreadableError(f"{slot}: not a row of the task log: {error}") from error


def decode_placed(placed: list[int]) -> Iterator[tuple[int, int, int]]:
    """Return task, attempt and machine index for each entry of a flat list of placed tasks."""
    return zip(placed[::3], placed[1::3], placed[2::3], strict=True)


def block_size(value_bytes: int) -> int:
    """Return the tasks per block so that a snapshot takes at most a third of a value of this size."""
    return max(MIN_BLOCK_SIZE, (value_bytes - MAX_HEADER_BYTES) // 3 // (ENTRY_BYTES + MACHINE_NAME_BYTES))


def tasks_of_block(number: int, size: int) -> range:
    """Return the task numbers of a block."""
    return range(number * size, (number + 1) * size)
