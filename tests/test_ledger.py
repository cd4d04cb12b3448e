"""The ledger: what the rows add up to, read one by one or all at once, and how long the log gets."""

import random

import orjson
import pytest

from bayford.storage.records import UnreadableError
from bayford.storage.task_log import KEEP_ROWS, Ledger, RowMaker


class Writer:
    """An owner that appends random news, beside the plain truth of what it has written."""

    def __init__(self, layout_bytes: int, row_bytes: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ledger = Ledger(layout_bytes)
        self.row_bytes = row_bytes
        self.stored: dict[str, tuple[int, object]] = {}
        self.truth: dict[str, dict[int, object]] = {}
        self.over: set[str] = set()
        self.attempt = 1
        self.stamp = 10

    def append(self, jobs: int, tasks: int) -> tuple[str, int, object]:
        ledger, rng = self.ledger, self.rng
        maker = RowMaker(ledger, ledger.next, ledger.dead_before(), self.attempt + 40, self.row_bytes)
        changed: dict[str, list[int]] = {}
        for _ in range(rng.randint(1, 12)):
            job, task = f"req-{rng.randrange(jobs)}", rng.randrange(tasks)
            machine = f"vm-{rng.randrange(99):06d}"
            if job in self.over or not maker.room(job, machine):
                continue
            told = self.truth.setdefault(job, {})
            if any(task in flat.get(job, ()) for flat in (maker.value.d, maker.value.c)):
                continue
            if job in maker.value.o and task in maker.value.o[job][::3]:
                continue
            if told.get(task) == "done":
                continue  # for good
            changed.setdefault(job, []).append(task)
            kind = rng.random()
            if kind < 0.5:
                self.attempt += 1
                maker.opened(job, task, self.attempt, machine, 1)
                told[task] = (self.attempt, machine, 1)
            elif kind < 0.9:
                maker.done(job, task)
                told[task] = "done"
            else:
                maker.closed(job, task)
                told.pop(task, None)
        if self.truth and rng.random() < 0.02:
            job = rng.choice(sorted(self.truth))
            if maker.room(job):
                maker.over(job)
                del self.truth[job]
                self.over.add(job)
        maker.snapshots({job: set(told) for job, told in changed.items()})
        slot, before = ledger.slots(1)[0]
        assert self.stored.get(slot, (0, None))[0] == before, "the slot's stamp is known"
        self.stamp += 1
        value = orjson.loads(orjson.dumps(maker.finish()))
        assert len(orjson.dumps(value)) <= self.row_bytes
        self.stored[slot] = (self.stamp, value)
        return slot, self.stamp, value

    def state(self, ledger: Ledger) -> dict[str, dict[int, object]]:
        return {
            job: dict.fromkeys(p.done, "done") | {t: tuple(place) for t, place in p.open.items()}
            for job, p in ledger.jobs.items()
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
    late = Ledger(layout_bytes)
    held: list[tuple[str, int, object]] = []
    longest = 0
    for n in range(1500):
        row = w.append(jobs=12, tasks=60)
        w.ledger.take(*row)
        held.append(row)
        if len(held) > 3 or n % 7 == 0:
            w.rng.shuffle(held)  # rows that overtake others wait for them
            for found in held:
                late.take(*found)
            held.clear()
        longest = max(longest, len(w.stored))
        if n % 100 == 99:
            # In any order, as a new owner reads them; rows that are free but still there do no harm.
            rows = [(slot, stamp, value) for slot, (stamp, value) in w.stored.items()]
            w.rng.shuffle(rows)
            fresh = Ledger(layout_bytes)
            fresh.rebuild(rows)
            want = {job: told for job, told in w.truth.items() if told}
            assert {j: t for j, t in w.state(fresh).items() if t} == want
            assert {j: t for j, t in w.state(w.ledger).items() if t} == want
            assert (fresh.next, fresh.tail, fresh.slots(3)) == (
                w.ledger.next,
                w.ledger.tail,
                w.ledger.slots(3),
            )
            assert fresh.at == w.ledger.at
    for found in held:
        late.take(*found)
    assert w.state(late) == w.state(w.ledger)
    # A row that is too short for a snapshot must not keep the tail where it is: the log would grow for ever.
    keep = KEEP_ROWS * (layout_bytes // row_bytes)
    if row_bytes >= 2048:
        assert longest <= 3 * keep, "the log stays short while open work fits into a few rows"
    assert longest <= 20 * keep


def test_a_row_that_is_missing_or_not_ours_is_never_taken_for_nothing():
    w = Writer(4096, 4096, 1)
    for _ in range(40):
        w.ledger.take(*w.append(3, 30))
    rows = [(slot, stamp, value) for slot, (stamp, value) in w.stored.items() if value["n"] >= w.ledger.tail]
    rows.sort(key=lambda row: row[2]["n"])
    with pytest.raises(UnreadableError):
        Ledger(4096).rebuild(rows[:-2] + rows[-1:])
    with pytest.raises(UnreadableError):
        Ledger(4096).rebuild([*rows, ("b/log/99", 5, {"n": "x"})])


def test_a_job_of_a_hundred_thousand_tasks_fits_into_rows():
    ledger = Ledger(4096)
    for stamp, first in enumerate(range(0, 100_000, 400)):
        maker = RowMaker(ledger, ledger.next, ledger.dead_before(), 1, 4096)
        for task in range(first, first + 400, 2):
            assert maker.room("req-1")
            maker.done("req-1", task)
        maker.snapshots()
        slot, _ = ledger.slots(1)[0]
        value = orjson.loads(orjson.dumps(maker.finish()))
        assert len(orjson.dumps(value)) <= 4096
        ledger.take(slot, stamp, value)
    assert len(ledger.jobs["req-1"].done) == 50_000


def test_a_block_that_no_row_can_hold_does_not_keep_the_tail_where_it_is():
    """Laid out for 8 KiB, rows of 1 KiB: a block of 66 tasks on as many machines fits into none. Where the
    tail stands still, the log grows for ever."""
    ledger = Ledger(8192)
    stored: dict[str, object] = {}

    def append(fill) -> None:
        maker = RowMaker(ledger, ledger.next, ledger.dead_before(), 10**6, 1024)
        fill(maker)
        maker.snapshots()
        slot, _ = ledger.slots(1)[0]
        value = orjson.loads(orjson.dumps(maker.finish()))
        assert len(orjson.dumps(value)) <= 1024
        stored[slot] = value
        ledger.take(slot, ledger.next + 1, value)

    for task in range(ledger.block):
        append(
            lambda maker, task=task: maker.opened(
                "req-1", task, 10**6 + task, f"vm-of-a-long-name-{task:09d}", 1
            )
        )
    before = dict(ledger.jobs["req-1"].open)
    for n in range(3000):
        append(lambda maker, n=n: maker.opened("req-2", n % 7, n, "vm-2", 1))
    assert len(stored) <= 2 * KEEP_ROWS * 8 + ledger.block
    assert ledger.jobs["req-1"].open == before
    fresh = Ledger(8192)
    fresh.rebuild([(slot, 1, value) for slot, value in stored.items()])
    assert fresh.jobs["req-1"].open == before
