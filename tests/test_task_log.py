"""Tests of the task log: its state after applying rows one by one or all at once, and its length."""

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import orjson
import pytest

from bayford.storage.records import UnreadableError
from bayford.storage.row_builder import TARGET_ROWS, RowBuilder
from bayford.storage.task_log import TaskLog


class RandomWriter:
    """Appends rows with random changes as a leader does, and keeps the state that they should result in."""

    def __init__(self, layout_bytes: int, row_bytes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.task_log = TaskLog(layout_bytes)
        self.row_bytes = row_bytes
        self.stored: dict[str, tuple[int, Any]] = {}
        self.expected_state: dict[str, dict[int, object]] = {}
        self.ended_jobs: set[str] = set()
        self.attempt = 1
        self.version = 10

    def append(self, jobs: int, tasks: int) -> tuple[str, int, object]:
        """Stores a row with up to twelve random changes; returns its slot, version and value."""
        task_log, rng = self.task_log, self.rng
        builder = RowBuilder(
            task_log, task_log.next, task_log.reclaimable_tail(), self.attempt + 40, self.row_bytes
        )
        changed: dict[str, list[int]] = {}
        for _ in range(rng.randint(1, 12)):
            self._add_random_change(builder, changed, jobs, tasks)
        if self.expected_state and rng.random() < 0.02:
            job = rng.choice(sorted(self.expected_state))
            if builder.has_space(job):
                builder.add_ended_job(job)
                del self.expected_state[job]
                self.ended_jobs.add(job)
        builder.add_snapshots({job: set(expected_tasks) for job, expected_tasks in changed.items()})
        slot, slot_version = task_log.next_slots(1)[0]
        assert self.stored.get(slot, (0, None))[0] == slot_version, (
            "the task log must know the stored version of the slot"
        )
        self.version += 1
        value = orjson.loads(orjson.dumps(builder.build()))
        assert len(orjson.dumps(value)) <= self.row_bytes
        self.stored[slot] = (self.version, value)
        return slot, self.version, value

    def _add_random_change(
        self, builder: RowBuilder, changed: dict[str, list[int]], jobs: int, tasks: int
    ) -> None:
        """Adds a placement, a completion or the end of a placement, if the row has space for it."""
        rng = self.rng
        job, task = f"req-{rng.randrange(jobs)}", rng.randrange(tasks)
        machine = f"vm-{rng.randrange(99):06d}"
        if job in self.ended_jobs or not builder.has_space(job, machine):
            return
        expected_tasks = self.expected_state.setdefault(job, {})
        if any(task in listed_tasks.get(job, ()) for listed_tasks in (builder.row.done, builder.row.closed)):
            return
        if job in builder.row.placed and task in builder.row.placed[job][::3]:
            return
        if expected_tasks.get(task) == "done":
            return  # a completion is final
        changed.setdefault(job, []).append(task)
        draw = rng.random()
        if draw < 0.5:
            self.attempt += 1
            builder.add_open(job, task, self.attempt, machine, 1)
            expected_tasks[task] = (self.attempt, machine, 1)
        elif draw < 0.9:
            builder.add_done(job, task)
            expected_tasks[task] = "done"
        else:
            builder.add_closed(job, task)
            expected_tasks.pop(task, None)

    def state(self, task_log: TaskLog) -> dict[str, dict[int, object]]:
        """Returns the tasks of each job in a task log, in the form of `expected_state`."""
        return {
            job: dict.fromkeys(progress.done, "done")
            | {task: tuple(placement) for task, placement in progress.open.items()}
            for job, progress in task_log.jobs.items()
        }


@pytest.mark.parametrize(
    ("layout_bytes", "row_bytes"),
    [
        (600, 600),
        (1024, 1024),
        (4096, 4096),
        (8192, 8192),
        (8192, 2048),
        (4096, 2048),
        (8192, 512),
        (8192, 384),
    ],
)
def test_rebuilding_from_all_rows_gives_the_same_as_applying_each(layout_bytes: int, row_bytes: int) -> None:
    writer = RandomWriter(layout_bytes, row_bytes, row_bytes)
    late_reader = TaskLog(layout_bytes)
    delayed_rows: list[tuple[str, int, object]] = []
    longest = 0
    for n in range(1500):
        row = writer.append(jobs=12, tasks=60)
        writer.task_log.apply_row(*row)
        delayed_rows.append(row)
        if len(delayed_rows) > 3 or n % 7 == 0:
            writer.rng.shuffle(delayed_rows)  # rows that arrive early are applied after those before them
            for row in delayed_rows:
                late_reader.apply_row(*row)
            delayed_rows.clear()
        longest = max(longest, len(writer.stored))
        if n % 100 == 99:
            # A new leader reads the rows in any order; free rows that are still stored have no effect.
            rows = [(slot, version, value) for slot, (version, value) in writer.stored.items()]
            writer.rng.shuffle(rows)
            rebuilt = TaskLog(layout_bytes)
            rebuilt.rebuild(rows)
            expected = {
                job: expected_tasks for job, expected_tasks in writer.expected_state.items() if expected_tasks
            }
            assert {job: tasks for job, tasks in writer.state(rebuilt).items() if tasks} == expected
            assert {job: tasks for job, tasks in writer.state(writer.task_log).items() if tasks} == expected
            assert (rebuilt.next, rebuilt.tail, rebuilt.next_slots(3)) == (
                writer.task_log.next,
                writer.task_log.tail,
                writer.task_log.next_slots(3),
            )
            assert rebuilt.placements_by_machine == writer.task_log.placements_by_machine
    for row in delayed_rows:
        late_reader.apply_row(*row)
    assert writer.state(late_reader) == writer.state(writer.task_log)
    # A row that is too short for a snapshot must not stop the tail: the log would grow without bound.
    kept_rows = TARGET_ROWS * (layout_bytes // row_bytes)
    if row_bytes >= 2048:
        assert longest <= 3 * kept_rows, "the log stays short while open work fits into a few rows"
    assert longest <= 20 * kept_rows


def test_a_missing_or_malformed_row_is_an_error() -> None:
    writer = RandomWriter(4096, 4096, 1)
    for _ in range(40):
        writer.task_log.apply_row(*writer.append(3, 30))
    rows = [
        (slot, version, value)
        for slot, (version, value) in writer.stored.items()
        if value["n"] >= writer.task_log.tail
    ]
    rows.sort(key=lambda row: row[2]["n"])
    with pytest.raises(UnreadableError):
        TaskLog(4096).rebuild(rows[:-2] + rows[-1:])
    with pytest.raises(UnreadableError):
        TaskLog(4096).rebuild([*rows, ("b/log/99", 5, {"n": "x"})])


def test_a_job_of_100000_tasks_fits_into_rows() -> None:
    task_log = TaskLog(4096)
    for version, first in enumerate(range(0, 100_000, 400)):
        builder = RowBuilder(task_log, task_log.next, task_log.reclaimable_tail(), 1, 4096)
        for task in range(first, first + 400, 2):
            assert builder.has_space("req-1")
            builder.add_done("req-1", task)
        builder.add_snapshots()
        slot, _ = task_log.next_slots(1)[0]
        value = orjson.loads(orjson.dumps(builder.build()))
        assert len(orjson.dumps(value)) <= 4096
        task_log.apply_row(slot, version, value)
    assert len(task_log.jobs["req-1"].done) == 50_000


def test_a_block_that_fits_into_no_row_does_not_stop_the_tail() -> None:
    """With a layout for 8 KiB and rows of 1 KiB, a block of 66 tasks on 66 machines fits into no row.

    If that stopped the tail, the log would grow without bound.
    """
    task_log = TaskLog(8192)
    stored: dict[str, object] = {}

    def append(fill: Callable[[RowBuilder], None]) -> None:
        builder = RowBuilder(task_log, task_log.next, task_log.reclaimable_tail(), 10**6, 1024)
        fill(builder)
        builder.add_snapshots()
        slot, _ = task_log.next_slots(1)[0]
        value = orjson.loads(orjson.dumps(builder.build()))
        assert len(orjson.dumps(value)) <= 1024
        stored[slot] = value
        task_log.apply_row(slot, task_log.next + 1, value)

    def add_open(builder: RowBuilder, job_id: str, task: int, attempt: int, machine: str) -> None:
        builder.add_open(job_id, task, attempt, machine, 1)

    for task in range(task_log.block_size):
        machine = f"vm-of-a-long-name-{task:09d}"
        append(partial(add_open, job_id="req-1", task=task, attempt=10**6 + task, machine=machine))
    before = dict(task_log.jobs["req-1"].open)
    for n in range(3000):
        append(partial(add_open, job_id="req-2", task=n % 7, attempt=n, machine="vm-2"))
    assert len(stored) <= 2 * TARGET_ROWS * 8 + task_log.block_size
    assert task_log.jobs["req-1"].open == before
    rebuilt = TaskLog(8192)
    rebuilt.rebuild([(slot, 1, value) for slot, value in stored.items()])
    assert rebuilt.jobs["req-1"].open == before
