"""The task log: the placement and completion of every task, stored as a log in the key-value store.

Hundreds of tasks start and end at a time, but the key-value store accepts only a few changes a second, each
of a few KiB. The leader therefore appends rows, each of which carries the changes of many jobs: row `n` has
an entry for each task that changed since row `n-1`.

Compaction: row keys are slots, `b/log/<slot>`, and a slot is reused once its row has no live entries. An
entry is live until a later row has an entry for the same task or a snapshot of the task's block. A block is a
run of consecutive task numbers of one job. The leader fills the free space of each row with snapshots: the
state, before that row, of blocks that have live entries in the oldest rows. The tail is the first row with a
live entry; the slots of the rows before it are free. The log, which a new leader has to read, therefore stays
short whatever the number of jobs.

The block size is part of the stored layout, since a snapshot identifies its block by number. It is derived
from the maximum value size at the time when the log was created, and does not change when the key-value store
lowers that maximum. After that a snapshot may be too large for a row. The tasks of its block are then written
again one by one, as many per row as fit; once all live entries of an old row have been written again, that
row has none left. Readers of the first release need no knowledge of this: they read the tail from the row,
and an entry that repeats the known state changes nothing.

Row entries assign state and never increment it, so applying a row twice, or applying rows older than needed,
is idempotent.

Exactly once: the transaction that writes a row has a condition on the version of the row's slot, and the slot
of row `n` is determined by the preceding rows alone. Of two writes of row `n`, for example one whose outcome
is unknown and its retry, at most one is applied. The other one fails with a conflict, and its writer reads
the stored row and continues from there.

`storage.task_log_row` has the stored form of a row; `storage.row_builder` builds rows.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from bayford.storage.records import LOG, UnreadableError
from bayford.storage.task_log_row import (
    Block,
    MachineEpoch,
    StoredRow,
    TaskPlacement,
    block_size,
    decode_placed,
    decode_row,
    tasks_of_block,
)
from bayford.storage.task_ranges import decode_ranges


class Slot(NamedTuple):
    """A key for a row, and the key's current version, 0 if the key does not exist."""

    key: str
    version: int


class ReceivedRow(NamedTuple):
    """A decoded row and the slot from which it was read."""

    slot: Slot
    row: StoredRow


@dataclass(slots=True)
class Progress:
    """The state of one job's tasks. A task in neither `open` nor `done` is neither placed nor done."""

    open: dict[int, TaskPlacement] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)
    # Block number -> number of the last row with a snapshot of that block.
    snapshot_rows: dict[int, int] = field(default_factory=dict)
    # Task -> number of the last row with an entry for it since the last snapshot of its block.
    last_rows: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class Segment:
    """A row at or after the tail: its slot, and the blocks for which it may have live entries."""

    slot: Slot
    blocks: list[Block]


class TaskLog:
    """The state that results from applying all rows in order. Every controller maintains a copy.

    Not thread-safe: the watch cache owns it and calls it with its own lock held.
    """

    def __init__(self, layout_bytes: int) -> None:
        """`layout_bytes`: the maximum value size, in bytes, from which the block size is derived."""
        self.block_size = block_size(layout_bytes)
        self.layout_bytes = layout_bytes
        self._reset()

    def _reset(self) -> None:
        self.next = 0  # number of the next row
        self.tail = 0  # number of the first row that may have live entries
        self.next_attempt = 1
        self.jobs: dict[str, Progress] = {}
        # Machine -> (job, task) -> (attempt, epoch): an index of the placements in `jobs`.
        self.placements_by_machine: dict[str, dict[tuple[str, int], tuple[int, int]]] = {}
        self.segments: dict[int, Segment] = {}  # by row number, starting at the tail
        self.free_slots: deque[Slot] = deque()  # in order of reuse
        self._pending_rows: dict[int, ReceivedRow] = {}  # by number, until `next` reaches it

    # -- reading ---------------------------------------------------------------------------------------

    def apply_row(self, slot: str, version: int, value: Any) -> None:
        """Apply a row that was read from the store, or buffer it until all preceding rows are applied.

        Raises UnreadableError if the value is not a row.
        """
        row = decode_row(slot, value)
        if row.number >= self.next:
            self._pending_rows[row.number] = ReceivedRow(Slot(slot, version), row)
        while self.next in self._pending_rows:
            self._apply_next_row(self._pending_rows.pop(self.next))

    def rebuild(self, rows: Iterable[tuple[str, int, Any]]) -> None:
        """Rebuild the state from all rows of one revision: slot, version and value of each, in any order.

        Raises UnreadableError if a value is not a row, or if a row at or after the tail is missing.
        """
        received = sorted(
            (ReceivedRow(Slot(slot, version), decode_row(slot, value)) for slot, version, value in rows),
            key=lambda entry: entry.row.number,
        )
        self._reset()
        if not received:
            return
        tail = received[-1].row.tail
        self.next = self.tail = tail
        for entry in received:
            if entry.row.number < tail:
                self.free_slots.append(entry.slot)
                continue
            if entry.row.number != self.next:
                raise UnreadableError(f"{LOG}: row {self.next} of the task log is missing")
            self._apply_next_row(entry, load_snapshots=True)

    def _apply_next_row(self, received: ReceivedRow, load_snapshots: bool = False) -> None:
        """Apply row number `next`.

        `load_snapshots`: also take task state from the row's snapshots, as earlier rows were not all read.
        """
        slot, row = received
        blocks: set[Block] = set()
        self._apply_snapshots(row, blocks, load_snapshots)
        self._apply_changes(row, blocks)
        for job in row.ended_jobs:
            ended = self.jobs.pop(job, None)
            if ended is not None:
                for task in list(ended.open):
                    self._remove_placement(job, ended, task)
        if self.free_slots and self.free_slots[0].key == slot.key:
            self.free_slots.popleft()
        self.segments[row.number] = Segment(slot, list(blocks))
        self.next_attempt = max(self.next_attempt, row.next_attempt)
        self.next = row.number + 1
        self._move_tail(row.tail)

    def _apply_snapshots(self, row: StoredRow, blocks: set[Block], load: bool) -> None:
        size = self.block_size
        for snapshot in row.snapshots:
            job, number = snapshot.job, snapshot.number
            blocks.add(Block(job, number))
            progress = self._progress_of(job)
            progress.snapshot_rows[number] = row.number
            for task in tasks_of_block(number, size):
                progress.last_rows.pop(task, None)
            if load:
                for task in [task for task in progress.open if task // size == number]:
                    self._remove_placement(job, progress, task)
                progress.done.update(decode_ranges(snapshot.done))
                for task, attempt, index in decode_placed(snapshot.placed):
                    self._add_placement(job, progress, task, attempt, row.machines[index])

    def _apply_changes(self, row: StoredRow, blocks: set[Block]) -> None:
        size = self.block_size
        for job, tasks in row.closed.items():
            progress = self._progress_of(job)
            for task in tasks:
                self._remove_placement(job, progress, task)
                # A task without an entry counts as neither placed nor done, so this entry need not stay
                # live.
                progress.last_rows.pop(task, None)
        for job, tasks in row.done.items():
            progress = self._progress_of(job)
            for task in tasks:
                self._remove_placement(job, progress, task)
                progress.done.add(task)
                progress.last_rows[task] = row.number
                blocks.add(Block(job, task // size))
        for job, placed in row.placed.items():
            progress = self._progress_of(job)
            for task, attempt, index in decode_placed(placed):
                self._remove_placement(job, progress, task)
                self._add_placement(job, progress, task, attempt, row.machines[index])
                progress.last_rows[task] = row.number
                blocks.add(Block(job, task // size))

    def _move_tail(self, tail: int) -> None:
        for number in range(self.tail, min(tail, self.next)):
            segment = self.segments.pop(number, None)
            if segment is not None:
                self.free_slots.append(segment.slot)
        self.tail = max(self.tail, tail)

    def _progress_of(self, job: str) -> Progress:
        progress = self.jobs.get(job)
        if progress is None:
            progress = self.jobs[job] = Progress()
        return progress

    def _add_placement(
        self, job: str, progress: Progress, task: int, attempt: int, machine_epoch: MachineEpoch
    ) -> None:
        machine, epoch = machine_epoch
        progress.open[task] = TaskPlacement(attempt, machine, epoch)
        self.placements_by_machine.setdefault(machine, {})[(job, task)] = (attempt, epoch)

    def _remove_placement(self, job: str, progress: Progress, task: int) -> None:
        placement = progress.open.pop(task, None)
        if placement is not None:
            on_machine = self.placements_by_machine[placement.machine]
            del on_machine[(job, task)]
            if not on_machine:
                del self.placements_by_machine[placement.machine]

    # -- writing ---------------------------------------------------------------------------------------

    def reclaimable_tail(self) -> int:
        """Return the tail to write into the next row: no row before it has a live entry."""
        number = self.tail
        while number < self.next - 1:
            blocks = self.segments[number].blocks
            while blocks and not self._has_live_entry(blocks[-1], number):
                blocks.pop()  # an entry that is not live never becomes live again
            if blocks:
                break
            number += 1
        return number

    def next_slots(self, count: int) -> list[Slot]:
        """Return the slots of the next `count` rows: free slots in order of reuse, then new ones."""
        reused = [self.free_slots[i] for i in range(min(count, len(self.free_slots)))]
        slot_count = len(self.segments) + len(self.free_slots)
        return reused + [Slot(f"{LOG}{slot_count + i}", 0) for i in range(count - len(reused))]

    def _has_live_entry(self, block: Block, number: int) -> bool:
        return next(self.live_tasks(block, number), None) is not None

    def live_tasks(self, block: Block, number: int) -> Iterator[int]:
        """Return the tasks of the block that are placed or done and whose live entry is in row `number`."""
        progress = self.jobs.get(block.job)
        if progress is None:
            return
        snapshot_row = progress.snapshot_rows.get(block.number, -1)
        if snapshot_row > number:
            return
        for task in tasks_of_block(block.number, self.block_size):
            last_row = progress.last_rows.get(task)
            # If no row since the snapshot has an entry for the task, its live entry is the one in the
            # snapshot. Tasks that are neither placed nor done have no entry there.
            if last_row == number or (
                last_row is None
                and snapshot_row == number
                and (task in progress.open or task in progress.done)
            ):
                yield task

    def oldest_blocks(self, target_rows: int) -> Iterator[tuple[Block, int]]:
        """Return the blocks to write again so that the log can shrink to `target_rows` rows.

        These are the blocks with live entries in rows older than the last `target_rows`, oldest row first,
        each block once, with the number of the row that has those entries.
        """
        yielded: set[Block] = set()
        for number in range(self.tail, self.next - target_rows):
            for block in sorted(self.segments[number].blocks):
                if block not in yielded and self._has_live_entry(block, number):
                    yielded.add(block)
                    yield block, number
