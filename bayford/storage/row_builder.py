"""Builds the rows that the leader appends to the task log, each within the maximum value size."""

from collections.abc import Collection, Iterable, Mapping
from types import MappingProxyType
from typing import Any

from bayford.storage.task_log import Progress, TaskLog
from bayford.storage.task_log_row import (
    ENTRY_BYTES,
    MAX_HEADER_BYTES,
    BlockSnapshot,
    MachineEpoch,
    StoredRow,
    TaskPlacement,
    encode_row,
    tasks_of_block,
)
from bayford.storage.task_ranges import encode_ranges

TARGET_ROWS = 24  # target length of the log; exceeded if the live entries need more rows
SPACE_MARGIN_BYTES = 32  # brackets, and the list that an entry may start


class RowBuilder:
    """Builds one row, keeping track of the bytes that are free for further entries.

    Must be used with the lock of the task log held. Sizes are upper bounds, so the value never exceeds the
    limit.
    """

    def __init__(self, task_log: TaskLog, number: int, tail: int, next_attempt: int, row_bytes: int) -> None:
        """`row_bytes`: the current maximum value size; it may differ from the log's `layout_bytes`."""
        self.row = StoredRow(number, tail, next_attempt)
        self.free_bytes = row_bytes - MAX_HEADER_BYTES
        self._task_log = task_log
        self._machine_index: dict[tuple[str, int], int] = {}
        # Rows smaller than the layout's value size hold less, so the log needs proportionally more rows.
        self._target_rows = TARGET_ROWS * max(1, task_log.layout_bytes // row_bytes)
        is_long = len(task_log.segments) > 2 * self._target_rows
        self._snapshot_reserve_bytes = row_bytes // 3 if is_long else 0

    # -- changes ---------------------------------------------------------------------------------------

    def has_space(self, job: str, machine: str = "") -> bool:
        """Return whether one more change of a task is certain to fit.

        Once the log exceeds twice its target length, a third of each row is reserved for snapshots, or the
        log would grow without bound. The row's first change may use the reserve, since the smallest rows
        cannot hold both; snapshots then get the space that remains.
        """
        row = self.row
        reserved_bytes = (
            self._snapshot_reserve_bytes if row.placed or row.done or row.closed or row.ended_jobs else 0
        )
        return self.free_bytes - reserved_bytes >= ENTRY_BYTES + len(job) + len(machine) + SPACE_MARGIN_BYTES

    def add_open(self, job: str, task: int, attempt: int, machine: str, epoch: int) -> None:
        """Add an entry for a task that is on a machine."""
        self._add_placed(self._entries_of(self.row.placed, job), task, attempt, machine, epoch)

    def add_done(self, job: str, task: int) -> None:
        """Add an entry for a task that is done."""
        self._entries_of(self.row.done, job).append(task)
        self.free_bytes -= len(str(task)) + 1

    def add_closed(self, job: str, task: int) -> None:
        """Add an entry for a task that is neither on a machine nor done."""
        self._entries_of(self.row.closed, job).append(task)
        self.free_bytes -= len(str(task)) + 1

    def add_ended_job(self, job: str) -> None:
        """Add an entry for a job that has ended: readers drop its tasks' state."""
        self.row.ended_jobs.append(job)
        self.free_bytes -= len(job) + 3

    def _entries_of(self, by_job: dict[str, list[int]], job: str) -> list[int]:
        entries = by_job.get(job)
        if entries is None:
            entries = by_job[job] = []
            self.free_bytes -= len(job) + 8
        return entries

    def _add_placed(self, placed: list[int], task: int, attempt: int, machine: str, epoch: int) -> None:
        placed += (task, attempt, self._index_of(machine, epoch))
        self.free_bytes -= len(str(task)) + len(str(attempt)) + 7

    def _index_of(self, machine: str, epoch: int) -> int:
        """Return the index of the machine and epoch in the row's table, adding them if necessary."""
        index = self._machine_index.get((machine, epoch))
        if index is None:
            index = self._machine_index[(machine, epoch)] = len(self.row.machines)
            self.row.machines.append(MachineEpoch(machine, epoch))
            self.free_bytes -= len(machine) + len(str(epoch)) + 6
        return index

    # -- compaction --------------------------------------------------------------------------------------

    def add_snapshots(self, changed_tasks: Mapping[str, Collection[int]] = MappingProxyType({})) -> None:
        """Fill the free bytes with live entries of the oldest rows, so that those rows' slots become free.

        A block is written as a snapshot or, if its snapshot does not fit, task by task. `changed_tasks`: by
        job, the tasks for which this transaction has entries of its own.
        """
        task_log = self._task_log
        for block, number in task_log.oldest_blocks(self._target_rows):
            progress = task_log.jobs[block.job]
            if self._add_snapshot(block.job, block.number, progress):
                continue
            live_tasks = task_log.live_tasks(block, number)
            if not self._rewrite_tasks(block.job, live_tasks, changed_tasks.get(block.job, ())):
                return

    def _add_snapshot(self, job: str, number: int, progress: Progress) -> bool:
        """Add a snapshot of the block's state before this transaction; return False if it does not fit."""
        tasks = tasks_of_block(number, self._task_log.block_size)
        done = encode_ranges(task for task in tasks if task in progress.done)
        placements = [(task, progress.open[task]) for task in tasks if task in progress.open]
        header_bytes = sum(len(str(task)) + 1 for task in done) + len(job) + 24
        if header_bytes + sum(_placement_bytes(*entry) for entry in placements) > self.free_bytes:
            return False
        placed: list[int] = []
        for task, placement in placements:
            self._add_placed(placed, task, *placement)
        self.row.snapshots.append(BlockSnapshot(job, number, done, placed))
        self.free_bytes -= header_bytes
        return True

    def _rewrite_tasks(self, job: str, tasks: Iterable[int], changed_tasks: Collection[int]) -> bool:
        """Add entries with the tasks' state before this transaction; return False once the row is full."""
        progress = self._task_log.jobs[job]
        for task in tasks:
            if task in changed_tasks:
                continue
            placement = progress.open.get(task)
            entry_bytes = 8 if placement is None else _placement_bytes(task, placement)
            if self.free_bytes < entry_bytes + len(job) + 10:  # also the job's name and list
                return False
            if placement is None:
                self.add_done(job, task)
            else:
                self.add_open(job, task, *placement)
        return True

    def build(self) -> Any:
        """Return the value to write."""
        return encode_row(self.row)


def _placement_bytes(task: int, placement: TaskPlacement) -> int:
    """Return an upper bound of the size of a placed task's entry, including its machine's name."""
    attempt, machine, epoch = placement
    return len(str(task)) + len(str(attempt)) + len(machine) + len(str(epoch)) + 14
