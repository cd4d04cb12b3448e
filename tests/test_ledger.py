"""The task log: what the rows add up to, read one by one or all at once, and how long the log gets."""

import random

import orjson
import pytest

from bayford.storage.records import UnreadableError
from bayford.storage.row_builder import KEEP_ROWS, RowBuilder
from bayford.storage.task_log import TaskLog


class Writer:
    """A leader that appends random news, beside the plain truth of what it has written."""

    def __init__(self, layout_bytes: int, row_bytes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.task_log = TaskLog(layout_bytes)
        self.row_bytes = row_bytes
        self.stored: dict[str, tuple[int, object]] = {}
        self.truth: dict[str, dict[int, object]] = {}
        self.over: set[str] = set()
        self.attempt = 1
        self.version = 10

    def append(self, jobs: int, tasks: int) -> tuple[str, int, object]:
        task_log, rng = self.task_log, self.rng
        maker = RowBuilder(
            task_log, task_log.next, task_log.reclaimable_tail(), self.attempt + 40, self.row_bytes
        )
        changed: dict[str, list[int]] = {}
        for _ in range(rng.randint(1, 12)):
            job, task = f"req-{rng.randrange(jobs)}", rng.randrange(tasks)
            machine = f"vm-{rng.randrange(99):06d}"
            if job in self.over or not maker.has_space(job, machine):
                continue
            told = self.truth.setdefault(job, {})
            if any(task in flat.get(job, ()) for flat in (maker.row.done, maker.row.closed)):
                continue
            if job in maker.row.placed and task in maker.row.placed[job][::3]:
                continue
            if told.get(task) == "done":
                continue  # for good
            changed.setdefault(job, []).append(task)
            kind = rng.random()
            if kind < 0.5:
                self.attempt += 1
                maker.add_open(job, task, self.attempt, machine, 1)
                told[task] = (self.attempt, machine, 1)
            elif kind < 0.9:
                maker.add_done(job, task)
                told[task] = "done"
            else:
                maker.add_closed(job, task)
                told.pop(task, None)
        if self.truth and rng.random() < 0.02:
            job = rng.choice(sorted(self.truth))
            if maker.has_space(job):
                maker.add_over(job)
                del self.truth[job]
                self.over.add(job)
        maker.add_snapshots({job: set(told) for job, told in changed.items()})
        slot, before = task_log.next_slots(1)[0]
        assert self.stored.get(slot, (0, None))[0] == before, "the slot's stamp is known"
        self.version += 1
        value = orjson.loads(orjson.dumps(maker.build()))
        assert len(orjson.dumps(value)) <= self.row_bytes
        self.stored[slot] = (self.version, value)
        return slot, self.version, value

    def state(self, task_log: TaskLog) -> dict[str, dict[int, object]]:
        return {
            job: dict.fromkeys(p.done, "done") | {t: tuple(placement) for t, placement in p.open.items()}
            for job, p in task_log.jobs.items()
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
def test_reading_all_rows_gives_what_reading_one_by_one_gave(layout_bytes, row_bytes):
    w = Writer(layout_bytes, row_bytes, row_bytes)
    late = TaskLog(layout_bytes)
    held: list[tuple[str, int, object]] = []
    longest = 0
    for n in range(1500):
        row = w.append(jobs=12, tasks=60)
        w.task_log.apply_row(*row)
        held.append(row)
        if len(held) > 3 or n % 7 == 0:
            w.rng.shuffle(held)  # rows that overtake others wait for them
            for found in held:
                late.apply_row(*found)
            held.clear()
        longest = max(longest, len(w.stored))
        if n % 100 == 99:
            # In any order, as a new leader reads them; rows that are free but still there do no harm.
            rows = [(slot, version, value) for slot, (version, value) in w.stored.items()]
            w.rng.shuffle(rows)
            fresh = TaskLog(layout_bytes)
            fresh.rebuild(rows)
            want = {job: told for job, told in w.truth.items() if told}
            assert {j: t for j, t in w.state(fresh).items() if t} == want
            assert {j: t for j, t in w.state(w.task_log).items() if t} == want
            assert (fresh.next, fresh.tail, fresh.next_slots(3)) == (
                w.task_log.next,
                w.task_log.tail,
                w.task_log.next_slots(3),
            )
            assert fresh.placed_on == w.task_log.placed_on
    for found in held:
        late.apply_row(*found)
    assert w.state(late) == w.state(w.task_log)
    # A row that is too short for a snapshot must not keep the tail where it is: the log would grow for ever.
    keep = KEEP_ROWS * (layout_bytes // row_bytes)
    if row_bytes >= 2048:
        assert longest <= 3 * keep, "the log stays short while open work fits into a few rows"
    assert longest <= 20 * keep


def test_a_row_that_is_missing_or_not_ours_is_never_taken_for_nothing():
    w = Writer(4096, 4096, 1)
    for _ in range(40):
        w.task_log.apply_row(*w.append(3, 30))
    rows = [
        (slot, version, value) for slot, (version, value) in w.stored.items() if value["n"] >= w.task_log.tail
    ]
    rows.sort(key=lambda row: row[2]["n"])
    with pytest.raises(UnreadableError):
        TaskLog(4096).rebuild(rows[:-2] + rows[-1:])
    with pytest.raises(UnreadableError):
        TaskLog(4096).rebuild([*rows, ("b/log/99", 5, {"n": "x"})])


def test_a_job_of_a_hundred_thousand_tasks_fits_into_rows():
    task_log = TaskLog(4096)
    for version, first in enumerate(range(0, 100_000, 400)):
        maker = RowBuilder(task_log, task_log.next, task_log.reclaimable_tail(), 1, 4096)
        for task in range(first, first + 400, 2):
            assert maker.has_space("req-1")
            maker.add_done("req-1", task)
        maker.add_snapshots()
        slot, _ = task_log.next_slots(1)[0]
        value = orjson.loads(orjson.dumps(maker.build()))
        assert len(orjson.dumps(value)) <= 4096
        task_log.apply_row(slot, version, value)
    assert len(task_log.jobs["req-1"].done) == 50_000


def test_a_block_that_no_row_can_hold_does_not_keep_the_tail_where_it_is():
    """Laid out for 8 KiB, rows of 1 KiB: a block of 66 tasks on as many machines fits into none. Where the
    tail stands still, the log grows for ever."""
    task_log = TaskLog(8192)
    stored: dict[str, object] = {}

    def append(fill) -> None:
        maker = RowBuilder(task_log, task_log.next, task_log.reclaimable_tail(), 10**6, 1024)
        fill(maker)
        maker.add_snapshots()
        slot, _ = task_log.next_slots(1)[0]
        value = orjson.loads(orjson.dumps(maker.build()))
        assert len(orjson.dumps(value)) <= 1024
        stored[slot] = value
        task_log.apply_row(slot, task_log.next + 1, value)

    for task in range(task_log.block_size):
        append(
            lambda maker, task=task: maker.add_open(
                "req-1", task, 10**6 + task, f"vm-of-a-long-name-{task:09d}", 1
            )
        )
    before = dict(task_log.jobs["req-1"].open)
    for n in range(3000):
        append(lambda maker, n=n: maker.add_open("req-2", n % 7, n, "vm-2", 1))
    assert len(stored) <= 2 * KEEP_ROWS * 8 + task_log.block_size
    assert task_log.jobs["req-1"].open == before
    fresh = TaskLog(8192)
    fresh.rebuild([(slot, 1, value) for slot, value in stored.items()])
    assert fresh.jobs["req-1"].open == before
