"""The task log: where every task is, as a log that one write extends for many jobs.

The state service takes few changes a second, each of a few KiB, while tasks start and end by the hundred. So
the leader appends rows: row `n` says what became of each task that changed since row `n-1`. Rows lie under
`b/log/<slot>`; a slot is written again once nothing in it counts any more. To that end every row has room for
snapshots: the state, as it was before the row, of blocks of tasks (a block is a run of one job's task
numbers) whose news lies in the oldest rows. What a row tells of a block is dead when a later row has a
snapshot of it; the tail is the first row in which something lives, and the rows before it are free. That
keeps the log short, and so a new leader's reading, whatever the number of jobs.

The size of a block is part of the layout: a snapshot names its block by number. It follows from the size
that a value had when the log was begun, and stays when the state service takes less. Then a snapshot may not
fit into a row any more; its tasks are told again one by one instead, as many as fit into each row, and a row
is dead too once all that it tells has been told again. Readers of the first version need to know nothing of
that: they take the tail from the row, and a task told again is no news.

Rows assign, they don't add: reading one again, or reading more than is needed, changes nothing.

Exactly once: a row's write names the version of the slot that it takes, and the slot that row `n` takes
follows from the rows before alone. So of two writes of row `n`, one given up on and one that follows, only
one is applied; whoever was second conflicts, reads the row and goes on from there.
"""

from collections import deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import msgspec

from bayford.storage.records import LOG, UnreadableError

Block = tuple[str, int]  # job, number of the run of tasks
Place = tuple[int, str, int]  # attempt, machine, epoch

OPEN_BYTES = 24  # a task's entry in a row, at the longest that is usual
NAME_BYTES = 16  # and its machine's name
HEAD_BYTES = 192
KEEP_ROWS = 24  # the log is kept about this long; longer where the open work does not fit into so many
LEAST_BLOCK = 4


class Value(msgspec.Struct, forbid_unknown_fields=True):
    """A row as it is stored. Tasks that are on machines: flat triples task, attempt, index into `m`."""

    n: int
    t: int  # the tail when it was written
    a: int  # the next attempt number
    m: list[tuple[str, int]] = []  # machine and epoch
    o: dict[str, list[int]] = {}  # tasks placed
    d: dict[str, list[int]] = {}  # tasks done
    c: dict[str, list[int]] = {}  # tasks neither on a machine any more nor done
    x: list[str] = []  # jobs that are over, nothing of them on any machine
    s: list[tuple[str, int, list[int], list[int]]] = []  # job, block, ranges done, triples placed


@dataclass(slots=True)
class Progress:
    """One job's tasks."""

    open: dict[int, Place] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)
    snapped: dict[int, int] = field(default_factory=dict)  # block -> the last row with a snapshot of it
    told: dict[int, int] = field(default_factory=dict)  # task -> the last row that told of it since then


@dataclass(slots=True)
class Row:
    """A row of the window: where it lies, and the blocks of which it tells something."""

    slot: str
    version: int
    blocks: list[Block]


def ranges(tasks: Iterable[int]) -> list[int]:
    """Task numbers as first, last, first, last, …"""
    out: list[int] = []
    for task in sorted(tasks):
        if out and out[-1] == task - 1:
            out[-1] = task
        else:
            out += (task, task)
    return out


def unrange(flat: list[int]) -> Iterator[int]:
    """The inverse of `ranges`."""
    for first, last in zip(flat[::2], flat[1::2], strict=True):
        yield from range(first, last + 1)


def triples(flat: list[int]) -> Iterator[tuple[int, int, int]]:
    """A row's flat list of placed tasks."""
    return zip(flat[::3], flat[1::3], flat[2::3], strict=True)


def block_size(value_bytes: int) -> int:
    """Tasks in a block: so many that a snapshot of one takes a third of a value at the most."""
    return max(LEAST_BLOCK, (value_bytes - HEAD_BYTES) // 3 // (OPEN_BYTES + NAME_BYTES))


class TaskLog:
    """The state that the rows add up to. Kept by every controller, row by row as they come in.

    Not locked: its user, the watch cache, does that.
    """

    def __init__(self, layout_bytes: int) -> None:
        """`layout_bytes`: the size of a value that the blocks were laid out for."""
        self.block = block_size(layout_bytes)
        self.layout_bytes = layout_bytes
        self.clear()

    def clear(self) -> None:
        """Nothing known."""
        self.next = 0
        self.tail = 0
        self.next_attempt = 1
        self.jobs: dict[str, Progress] = {}
        self.at: dict[str, dict[tuple[str, int], tuple[int, int]]] = {}  # machine: task -> attempt, epoch
        self.window: dict[int, Row] = {}
        self.free: deque[tuple[str, int]] = deque()  # slots to write again, with their versions
        self._early: dict[int, tuple[str, int, Value]] = {}

    # -- reading ---------------------------------------------------------------------------------------

    def apply_row(self, slot: str, version: int, raw: Any) -> None:
        """A row came in; rows that overtook others wait for them."""
        value = _decode(slot, raw)
        if value.n >= self.next:
            self._early[value.n] = (slot, version, value)
        while self.next in self._early:
            self._apply(*self._early.pop(self.next))

    def rebuild(self, rows: Iterable[tuple[str, int, Any]]) -> None:
        """Everything anew, from all the rows of one revision."""
        found = sorted(((_decode(k, raw), k, version) for k, version, raw in rows), key=lambda row: row[0].n)
        self.clear()
        if not found:
            return
        tail = found[-1][0].t
        self.next = self.tail = tail
        for value, slot, version in found:
            if value.n < tail:
                self.free.append((slot, version))
                continue
            if value.n != self.next:
                raise UnreadableError(f"the ledger lacks row {self.next}")
            self._apply(slot, version, value, whole=True)

    def _apply(self, slot: str, version: int, value: Value, whole: bool = False) -> None:
        blocks: set[Block] = set()
        self._apply_snapshots(value, blocks, whole)
        self._apply_changes(value, blocks)
        for job in value.x:
            old = self.jobs.pop(job, None)
            if old is not None:
                for task in list(old.open):
                    self._close(job, old, task)
        if self.free and self.free[0][0] == slot:
            self.free.popleft()
        self.window[value.n] = Row(slot, version, list(blocks))
        self.next_attempt = max(self.next_attempt, value.a)
        self.next = value.n + 1
        self._move_tail(value.t)

    def _apply_snapshots(self, value: Value, blocks: set[Block], whole: bool) -> None:
        """`whole`: the rows before have not been read, so that what the snapshots tell is news."""
        size = self.block
        for job, number, done, placed in value.s:
            blocks.add((job, number))
            progress = self._progress(job)
            progress.snapped[number] = value.n
            for task in range(number * size, (number + 1) * size):
                progress.told.pop(task, None)
            if whole:
                for task in [t for t in progress.open if t // size == number]:
                    self._close(job, progress, task)
                progress.done.update(unrange(done))
                for task, attempt, where in triples(placed):
                    self._open(job, progress, task, attempt, value.m[where])

    def _apply_changes(self, value: Value, blocks: set[Block]) -> None:
        size = self.block
        for job, tasks in value.c.items():
            progress = self._progress(job)
            for task in tasks:
                self._close(job, progress, task)
                # On no machine and not done: that is what is known of a task of which nothing is told.
                progress.told.pop(task, None)
        for job, tasks in value.d.items():
            progress = self._progress(job)
            for task in tasks:
                self._close(job, progress, task)
                progress.done.add(task)
                progress.told[task] = value.n
                blocks.add((job, task // size))
        for job, flat in value.o.items():
            progress = self._progress(job)
            for task, attempt, where in triples(flat):
                self._close(job, progress, task)
                self._open(job, progress, task, attempt, value.m[where])
                progress.told[task] = value.n
                blocks.add((job, task // size))

    def _move_tail(self, tail: int) -> None:
        for n in range(self.tail, min(tail, self.next)):
            row = self.window.pop(n, None)
            if row is not None:
                self.free.append((row.slot, row.version))
        self.tail = max(self.tail, tail)

    def _progress(self, job: str) -> Progress:
        progress = self.jobs.get(job)
        if progress is None:
            progress = self.jobs[job] = Progress()
        return progress

    def _open(self, job: str, progress: Progress, task: int, attempt: int, where: tuple[str, int]) -> None:
        machine, epoch = where
        progress.open[task] = (attempt, machine, epoch)
        self.at.setdefault(machine, {})[(job, task)] = (attempt, epoch)

    def _close(self, job: str, progress: Progress, task: int) -> None:
        place = progress.open.pop(task, None)
        if place is not None:
            there = self.at[place[1]]
            del there[(job, task)]
            if not there:
                del self.at[place[1]]

    # -- writing ---------------------------------------------------------------------------------------

    def reclaimable_tail(self) -> int:
        """The tail that the next row may name: no row before it tells anything that counts."""
        n = self.tail
        while n < self.next - 1:
            blocks = self.window[n].blocks
            while blocks and not self._lives(blocks[-1], n):
                blocks.pop()
            if blocks:
                break
            n += 1
        return n

    def next_slots(self, count: int) -> list[tuple[str, int]]:
        """Where the next rows go, with the versions that they replace: free slots, oldest first, then new."""
        out = [self.free[i] for i in range(min(count, len(self.free)))]
        known = len(self.window) + len(self.free)
        return out + [(f"{LOG}{known + i}", 0) for i in range(count - len(out))]

    def _lives(self, block: Block, n: int) -> bool:
        """Whether what row `n` tells of the block still counts."""
        return next(self.telling(block, n), None) is not None

    def telling(self, block: Block, n: int) -> Iterator[int]:
        """The tasks of the block that are on machines or done, and of which row `n` is the last to tell."""
        progress = self.jobs.get(block[0])
        if progress is None:
            return
        snapped = progress.snapped.get(block[1], -1)
        if snapped > n:
            return
        for task in range(block[1] * self.block, (block[1] + 1) * self.block):
            told = progress.told.get(task)
            # A task that no row has told of since the snapshot counts there, if there is anything to it.
            if told == n or (
                told is None and snapped == n and (task in progress.open or task in progress.done)
            ):
                yield task

    def oldest_blocks(self, keep: int) -> Iterator[tuple[Block, int]]:
        """What is worth telling again, that the log may shrink to `keep` rows: the blocks of the oldest rows,
        each with the row that tells of it."""
        offered: set[Block] = set()
        for n in range(self.tail, self.next - keep):
            for block in sorted(self.window[n].blocks):
                if block not in offered and self._lives(block, n):
                    offered.add(block)
                    yield block, n


class RowBuilder:
    """One row in the making; says how many bytes are left in its value."""

    def __init__(self, task_log: TaskLog, n: int, tail: int, next_attempt: int, row_bytes: int) -> None:
        """`row_bytes`: what a value may have now, whatever the task log was laid out for."""
        self.value = Value(n, tail, next_attempt)
        self._task_log = task_log
        self._where: dict[tuple[str, int], int] = {}
        self.left = row_bytes - HEAD_BYTES
        # Shorter rows, more of them.
        self._keep = KEEP_ROWS * max(1, task_log.layout_bytes // row_bytes)
        self._spare = row_bytes // 3 if len(task_log.window) > 2 * self._keep else 0

    def _index(self, machine: str, epoch: int) -> int:
        index = self._where.get((machine, epoch))
        if index is None:
            index = self._where[(machine, epoch)] = len(self.value.m)
            self.value.m.append((machine, epoch))
            self.left -= len(machine) + len(str(epoch)) + 6
        return index

    def has_space(self, job: str, machine: str = "") -> bool:
        """Whether one more change of a task surely fits.

        Once the log is long, a third of each row is left to snapshots, or it would grow for ever; of the
        shortest rows, what a first change leaves.
        """
        value = self.value
        spare = self._spare if value.o or value.d or value.c or value.x else 0
        return self.left - spare >= OPEN_BYTES + len(job) + len(machine) + 32

    def add_open(self, job: str, task: int, attempt: int, machine: str, epoch: int) -> None:
        """The task is on a machine."""
        self._place(self._list(self.value.o, job), task, (attempt, machine, epoch))

    def add_done(self, job: str, task: int) -> None:
        """The task is done."""
        self._list(self.value.d, job).append(task)
        self.left -= len(str(task)) + 1

    def add_closed(self, job: str, task: int) -> None:
        """The task is on no machine, and not done."""
        self._list(self.value.c, job).append(task)
        self.left -= len(str(task)) + 1

    def add_over(self, job: str) -> None:
        """Nothing of the job is left to follow."""
        self.value.x.append(job)
        self.left -= len(job) + 3

    def _place(self, flat: list[int], task: int, place: Place) -> None:
        attempt, machine, epoch = place
        flat += (task, attempt, self._index(machine, epoch))
        self.left -= len(str(task)) + len(str(attempt)) + 7

    def _list(self, into: dict[str, list[int]], job: str) -> list[int]:
        found = into.get(job)
        if found is None:
            found = into[job] = []
            self.left -= len(job) + 8
        return found

    def add_snapshots(self, changing: Mapping[str, Collection[int]] = MappingProxyType({})) -> None:
        """Fill what is left with what the oldest rows tell: snapshots of blocks, or the single tasks of a
        block that does not fit. `changing`: the tasks of which this transaction tells anyhow."""
        task_log = self._task_log
        for (job, number), row in task_log.oldest_blocks(self._keep):
            progress = task_log.jobs[job]
            first = number * task_log.block
            tasks = range(first, first + task_log.block)
            done = ranges(t for t in tasks if t in progress.done)
            placed = [(t, progress.open[t]) for t in tasks if t in progress.open]
            need = sum(len(str(t)) + 1 for t in done) + len(job) + 24
            if need + sum(self._placing(*entry) for entry in placed) > self.left:
                if not self._again(job, task_log.telling((job, number), row), changing.get(job, ())):
                    return
                continue
            flat: list[int] = []
            for task, place in placed:
                self._place(flat, task, place)
            self.value.s.append((job, number, done, flat))
            self.left -= need

    def _placing(self, task: int, place: Place) -> int:
        """Bytes that the place of a task takes at the most, its machine's name included."""
        return len(str(task)) + len(str(place[0])) + len(place[1]) + len(str(place[2])) + 14

    def _again(self, job: str, tasks: Iterable[int], changing: Collection[int]) -> bool:
        """Tell again of these tasks, as they are before this transaction; False once the row is full."""
        progress = self._task_log.jobs[job]
        for task in tasks:
            if task in changing:
                continue
            place = progress.open.get(task)
            # Room for the job's name and its list, too.
            if self.left < (8 if place is None else self._placing(task, place)) + len(job) + 10:
                return False
            if place is None:
                self.add_done(job, task)
            else:
                self.add_open(job, task, *place)
        return True

    def build(self) -> dict[str, Any]:
        """The value to write, empty fields left out."""
        raw = msgspec.to_builtins(self.value)
        return {k: v for k, v in raw.items() if v or k in ("n", "t", "a")}


def _decode(slot: str, raw: Any) -> Value:
    try:
        return msgspec.convert(raw, Value)
    except msgspec.ValidationError as bad:
        raise UnreadableError(f"{slot}: not a row of the ledger: {bad}") from bad
