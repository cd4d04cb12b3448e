"""Makes the rows that the leader appends to the task log, each within the size of a value."""

from collections.abc import Collection, Iterable, Mapping
from types import MappingProxyType
from typing import Any

from bayford.storage.task_log import Progress, TaskLog
from bayford.storage.task_log_row import (
    ENTRY_BYTES,
    HEAD_BYTES,
    BlockSnapshot,
    MachineEpoch,
    StoredRow,
    TaskPlacement,
    encode_row,
    tasks_of_block,
)
from bayford.storage.task_ranges import encode_ranges

KEEP_ROWS = 24  # the log is kept about this long; longer where the open work does not fit into so many
SPACE_MARGIN_BYTES = 32  # beside an entry and its names: brackets, and the list that the entry begins


class RowBuilder:
    """One row in the making. Says whether one more change fits, and how many bytes are left.

    Used under the task log's lock. The bytes are counted by upper bounds, so the value is never too large.
    """

    def __init__(self, task_log: TaskLog, number: int, tail: int, next_attempt: int, row_bytes: int) -> None:
        """`row_bytes`: what a value may have now, whatever the task log was laid out for."""
        self.row = StoredRow(number, tail, next_attempt)
        self.left = row_bytes - HEAD_BYTES
        self._task_log = task_log
        self._machine_index: dict[tuple[str, int], int] = {}
        # Shorter rows, more of them.
        self._keep_rows = KEEP_ROWS * max(1, task_log.layout_bytes // row_bytes)
        is_long = len(task_log.segments) > 2 * self._keep_rows
        self._reserved_for_snapshots = row_bytes // 3 if is_long else 0

    # -- changes ---------------------------------------------------------------------------------------

    def has_space(self, job: str, machine: str = "") -> bool:
        """Whether one more change of a task surely fits.

        Once the log is long, a third of each row is left to snapshots, or it would grow for ever; where rows
        are shortest, what a first change leaves.
        """
        row = self.row
        reserved = (
            self._reserved_for_snapshots if row.placed or row.done or row.closed or row.ended_jobs else 0
        )
        return self.left - reserved >= ENTRY_BYTES + len(job) + len(machine) + SPACE_MARGIN_BYTES

    def add_open(self, job: str, task: int, attempt: int, machine: str, epoch: int) -> None:
        """The task is on a machine."""
        self._add_placed(self._list_of(self.row.placed, job), task, attempt, machine, epoch)

    def add_done(self, job: str, task: int) -> None:
        """The task is done."""
        self._list_of(self.row.done, job).append(task)
        self.left -= len(str(task)) + 1

    def add_closed(self, job: str, task: int) -> None:
        """The task is on no machine, and not done."""
        self._list_of(self.row.closed, job).append(task)
        self.left -= len(str(task)) + 1

    def add_over(self, job: str) -> None:
        """Nothing of the job is left to follow."""
        self.row.ended_jobs.append(job)
        self.left -= len(job) + 3

    def _list_of(self, by_job: dict[str, list[int]], job: str) -> list[int]:
        entries = by_job.get(job)
        if entries is None:
            entries = by_job[job] = []
            self.left -= len(job) + 8
        return entries

    def _add_placed(self, placed: list[int], task: int, attempt: int, machine: str, epoch: int) -> None:
        placed += (task, attempt, self._index(machine, epoch))
        self.left -= len(str(task)) + len(str(attempt)) + 7

    def _index(self, machine: str, epoch: int) -> int:
        """Where the row's table names the machine in this epoch; it is added if need be."""
        index = self._machine_index.get((machine, epoch))
        if index is None:
            index = self._machine_index[(machine, epoch)] = len(self.row.machines)
            self.row.machines.append(MachineEpoch(machine, epoch))
            self.left -= len(machine) + len(str(epoch)) + 6
        return index

    # -- live entries of the oldest rows -----------------------------------------------------------------

    def add_snapshots(self, changing: Mapping[str, Collection[int]] = MappingProxyType({})) -> None:
        """Fill what is left with the live entries of the oldest rows: snapshots of blocks, or the single
        tasks of a block that does not fit. `changing`: by job, the tasks that this transaction has entries
        for."""
        task_log = self._task_log
        for block, number in task_log.oldest_blocks(self._keep_rows):
            progress = task_log.jobs[block.job]
            if self._add_snapshot(block.job, block.number, progress):
                continue
            live_tasks = task_log.live_tasks(block, number)
            if not self._add_again(block.job, live_tasks, changing.get(block.job, ())):
                return

    def _add_snapshot(self, job: str, number: int, progress: Progress) -> bool:
        """Add a snapshot of the block, as it is before this transaction; False if it does not fit."""
        tasks = tasks_of_block(number, self._task_log.block_size)
        done = encode_ranges(task for task in tasks if task in progress.done)
        placements = [(task, progress.open[task]) for task in tasks if task in progress.open]
        head_bytes = sum(len(str(task)) + 1 for task in done) + len(job) + 24
        if head_bytes + sum(_placement_bytes(*entry) for entry in placements) > self.left:
            return False
        placed: list[int] = []
        for task, placement in placements:
            self._add_placed(placed, task, *placement)
        self.row.snapshots.append(BlockSnapshot(job, number, done, placed))
        self.left -= head_bytes
        return True

    def _add_again(self, job: str, tasks: Iterable[int], changing: Collection[int]) -> bool:
        """Write these tasks again, as they are before this transaction; False once the row is full."""
        progress = self._task_log.jobs[job]
        for task in tasks:
            if task in changing:
                continue
            placement = progress.open.get(task)
            entry_bytes = 8 if placement is None else _placement_bytes(task, placement)
            if self.left < entry_bytes + len(job) + 10:  # space for the job's name and its list, too
                return False
            if placement is None:
                self.add_done(job, task)
            else:
                self.add_open(job, task, *placement)
        return True

    def build(self) -> Any:
        """The value to write."""
        return encode_row(self.row)


def _placement_bytes(task: int, placement: TaskPlacement) -> int:
    """Bytes that an entry for a placed task takes at the most, its machine's name included."""
    attempt, machine, epoch = placement
    return len(str(task)) + len(str(attempt)) + len(machine) + len(str(epoch)) + 14
