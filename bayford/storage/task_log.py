"""The task log: where every task is, as a log that one write extends for many jobs.

The state service takes few changes a second, each of a few KiB, while tasks start and end by the hundred.
So the leader appends rows: row `n` says what became of each task that changed since row `n-1`. Rows are
stored under `b/log/<slot>`, and a slot is reused once its row holds no live entry. To that end every row
has space for snapshots: the state, as it was before the row, of blocks of tasks (a block is a run of one
job's task numbers) whose live entries are in the oldest rows. An entry is live until a later row has one
for the same task, or a snapshot of its block. The tail is the first row with a live entry, and the slots
before it are free. That keeps the log short, and with it what a new leader has to read, whatever the number
of jobs.

The size of a block is part of the layout: a snapshot names its block by number. It follows from the size
that a value had when the log was begun, and stays when the state service takes smaller values. Then a
snapshot may not fit into a row any more; the block's tasks are written again one by one instead, as many as
fit into each row, and a row has no live entry either once all its entries have been written again. Readers
of the first release need to know nothing of that: they take the tail from the row, and an entry that
repeats what they have changes nothing.

Rows assign, they don't add: reading one again, or reading more than is needed, changes nothing.

Exactly once: a row's write names the version of the slot that it takes, and the slot that row `n` takes
follows from the rows before alone. So of two writes of row `n`, one that was given up on and one that
follows, only one is applied; the other conflicts, and its writer reads the row and goes on from there.

The stored form of a row is in `storage.task_log_row`, and rows are made by `storage.row_builder`.
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
    """A key that holds a row or may hold one, with the version that it has; 0 if it does not exist."""

    key: str
    version: int


class ReceivedRow(NamedTuple):
    """A row and the slot that it was read from."""

    slot: Slot
    row: StoredRow


@dataclass(slots=True)
class Progress:
    """One job's tasks. A task that is neither in `open` nor in `done` is on no machine and not done."""

    open: dict[int, TaskPlacement] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)
    snapshot_rows: dict[int, int] = field(default_factory=dict)  # block -> the last row with a snapshot of it
    last_rows: dict[int, int] = field(
        default_factory=dict
    )  # task -> the last row with it, since that snapshot


@dataclass(slots=True)
class Segment:
    """A row from the tail on: its slot, and the blocks in which it may have live entries."""

    slot: Slot
    blocks: list[Block]


class TaskLog:
    """The state that the rows add up to. Kept by every controller, row by row as they come in.

    Not locked: its owner, the watch cache, calls it under its own lock.
    """

    def __init__(self, layout_bytes: int) -> None:
        """`layout_bytes`: the size of a value that the blocks were laid out for."""
        self.block_size = block_size(layout_bytes)
        self.layout_bytes = layout_bytes
        self._clear()

    def _clear(self) -> None:
        self.next = 0  # number of the row to come
        self.tail = 0  # number of the first row that may have a live entry
        self.next_attempt = 1
        self.jobs: dict[str, Progress] = {}
        # By machine: (job, task) -> attempt, epoch. The same placements as in `jobs`.
        self.placed_on: dict[str, dict[tuple[str, int], tuple[int, int]]] = {}
        self.segments: dict[int, Segment] = {}  # by row number, from the tail on
        self.free_slots: deque[Slot] = deque()  # in the order in which they will be reused
        self._waiting_rows: dict[int, ReceivedRow] = {}  # rows that came in before one that precedes them

    # -- reading ---------------------------------------------------------------------------------------

    def apply_row(self, slot: str, version: int, value: Any) -> None:
        """Take in a row that was read; one that came in early waits for those before it.

        UnreadableError if the value is not a row.
        """
        row = decode_row(slot, value)
        if row.number >= self.next:
            self._waiting_rows[row.number] = ReceivedRow(Slot(slot, version), row)
        while self.next in self._waiting_rows:
            self._apply(self._waiting_rows.pop(self.next))

    def rebuild(self, rows: Iterable[tuple[str, int, Any]]) -> None:
        """Build the state anew from slot, version and value of all the rows of one revision, in any order.

        UnreadableError if a value is not a row, or if one from the tail on is missing.
        """
        received = sorted(
            (ReceivedRow(Slot(slot, version), decode_row(slot, value)) for slot, version, value in rows),
            key=lambda entry: entry.row.number,
        )
        self._clear()
        if not received:
            return
        tail = received[-1].row.tail
        self.next = self.tail = tail
        for entry in received:
            if entry.row.number < tail:
                self.free_slots.append(entry.slot)
                continue
            if entry.row.number != self.next:
                raise UnreadableError(f"{LOG}: the task log lacks row {self.next}")
            self._apply(entry, load_snapshots=True)

    def _apply(self, received: ReceivedRow, load_snapshots: bool = False) -> None:
        """Take in the row that is next. `load_snapshots`: rows before it have not been read, so its snapshots
        say what is not known yet."""
        slot, row = received
        blocks: set[Block] = set()
        self._apply_snapshots(row, blocks, load_snapshots)
        self._apply_changes(row, blocks)
        for job in row.ended_jobs:
            ended = self.jobs.pop(job, None)
            if ended is not None:
                for task in list(ended.open):
                    self._close(job, ended, task)
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
            progress = self._progress(job)
            progress.snapshot_rows[number] = row.number
            for task in tasks_of_block(number, size):
                progress.last_rows.pop(task, None)
            if load:
                for task in [task for task in progress.open if task // size == number]:
                    self._close(job, progress, task)
                progress.done.update(decode_ranges(snapshot.done))
                for task, attempt, index in decode_placed(snapshot.placed):
                    self._open(job, progress, task, attempt, row.machines[index])

    def _apply_changes(self, row: StoredRow, blocks: set[Block]) -> None:
        size = self.block_size
        for job, tasks in row.closed.items():
            progress = self._progress(job)
            for task in tasks:
                self._close(job, progress, task)
                # On no machine and not done: that is what is known of a task without an entry, so that the
                # entry needs not be kept alive.
                progress.last_rows.pop(task, None)
        for job, tasks in row.done.items():
            progress = self._progress(job)
            for task in tasks:
                self._close(job, progress, task)
                progress.done.add(task)
                progress.last_rows[task] = row.number
                blocks.add(Block(job, task // size))
        for job, placed in row.placed.items():
            progress = self._progress(job)
            for task, attempt, index in decode_placed(placed):
                self._close(job, progress, task)
                self._open(job, progress, task, attempt, row.machines[index])
                progress.last_rows[task] = row.number
                blocks.add(Block(job, task // size))

    def _move_tail(self, tail: int) -> None:
        for number in range(self.tail, min(tail, self.next)):
            segment = self.segments.pop(number, None)
            if segment is not None:
                self.free_slots.append(segment.slot)
        self.tail = max(self.tail, tail)

    def _progress(self, job: str) -> Progress:
        progress = self.jobs.get(job)
        if progress is None:
            progress = self.jobs[job] = Progress()
        return progress

    def _open(self, job: str, progress: Progress, task: int, attempt: int, where: MachineEpoch) -> None:
        machine, epoch = where
        progress.open[task] = TaskPlacement(attempt, machine, epoch)
        self.placed_on.setdefault(machine, {})[(job, task)] = (attempt, epoch)

    def _close(self, job: str, progress: Progress, task: int) -> None:
        placement = progress.open.pop(task, None)
        if placement is not None:
            on_machine = self.placed_on[placement.machine]
            del on_machine[(job, task)]
            if not on_machine:
                del self.placed_on[placement.machine]

    # -- writing ---------------------------------------------------------------------------------------

    def reclaimable_tail(self) -> int:
        """The tail that the next row may name: no row before it has a live entry."""
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
        """The slots that the next rows take: free ones, the oldest first, then new ones."""
        reused = [self.free_slots[i] for i in range(min(count, len(self.free_slots)))]
        known = len(self.segments) + len(self.free_slots)
        return reused + [Slot(f"{LOG}{known + i}", 0) for i in range(count - len(reused))]

    def _has_live_entry(self, block: Block, number: int) -> bool:
        return next(self.live_tasks(block, number), None) is not None

    def live_tasks(self, block: Block, number: int) -> Iterator[int]:
        """The tasks of the block with a live entry in this row: on a machine or done, and in no later row."""
        progress = self.jobs.get(block.job)
        if progress is None:
            return
        snapshot_row = progress.snapshot_rows.get(block.number, -1)
        if snapshot_row > number:
            return
        for task in tasks_of_block(block.number, self.block_size):
            last_row = progress.last_rows.get(task)
            # The entry of a task that no row has named since the snapshot is the snapshot's, if there is
            # anything to say of the task.
            if last_row == number or (
                last_row is None
                and snapshot_row == number
                and (task in progress.open or task in progress.done)
            ):
                yield task

    def oldest_blocks(self, keep: int) -> Iterator[tuple[Block, int]]:
        """The blocks that are worth writing again, so that the log may shrink to `keep` rows: those with live
        entries in the oldest rows, each with the number of the row that has them."""
        offered: set[Block] = set()
        for number in range(self.tail, self.next - keep):
            for block in sorted(self.segments[number].blocks):
                if block not in offered and self._has_live_entry(block, number):
                    offered.add(block)
                    yield block, number
