"""Play the task log of the version in production against this one's, outside CI: it needs the history.

    python tools/task_log_crosscheck.py [--rounds N] [--seed N]

`deploy/service.toml` names the commit in production; its `storage/ledger.py` is read from the history and
run as it is. Both versions then write rows into one log in turn, as leaders of an upgrade do, the old one in
rows of the present limit and the new one in rows of the limit to come. Every reader of both must add all rows
up to the same state, also one that begins anew, and find the same slots free.
"""

import argparse
import importlib.util
import random
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path
from types import ModuleType
from typing import Any

import orjson

HERE = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(HERE))

from bayford.storage import records  # noqa: E402
from bayford.storage.row_builder import RowBuilder  # noqa: E402
from bayford.storage.task_log import TaskLog  # noqa: E402

# What production's task log imports and what is called otherwise by now.
OLD_NAMES = {"Unreadable": records.UnreadableError}

# Names of today, and what production's module calls the same thing.
CLASSES = {"TaskLog": "Ledger", "RowBuilder": "RowMaker"}
TASK_LOG_METHODS = {"apply_row": "take", "reclaimable_tail": "dead_before", "next_slots": "slots"}
ROW_BUILDER_METHODS = {
    "has_space": "room",
    "add_open": "opened",
    "add_done": "done",
    "add_closed": "closed",
    "add_ended_job": "over",
    "add_snapshots": "snapshots",
    "build": "finish",
}


def production() -> ModuleType:
    """The task log of the version in production."""
    commit = tomllib.loads((HERE / "deploy" / "service.toml").read_text())["production"]
    shown = ["git", "show", f"{commit}:bayford/storage/ledger.py"]
    text = subprocess.run(shown, cwd=HERE, check=True, capture_output=True, text=True).stdout
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "production_ledger.py"
        path.write_text(text)
        spec = importlib.util.spec_from_file_location("production_ledger", path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules["production_ledger"] = module
        for name, now in OLD_NAMES.items():
            setattr(records, name, now)
        spec.loader.exec_module(module)
    for name, old_name in CLASSES.items():
        setattr(module, name, getattr(module, old_name))
    for name, old_name in TASK_LOG_METHODS.items():
        setattr(module.TaskLog, name, getattr(module.TaskLog, old_name))
    for name, old_name in ROW_BUILDER_METHODS.items():
        setattr(module.RowBuilder, name, getattr(module.RowBuilder, old_name))
    return module


def state(task_log: Any) -> dict[str, Any]:
    """What a task log holds, empty jobs left out."""
    jobs = {}
    for job, progress in task_log.jobs.items():
        if progress.open or progress.done:
            jobs[job] = (dict(progress.open), set(progress.done))
    return jobs


def slots(task_log: Any) -> Any:
    """Where the next rows go, and what has to be read."""
    return task_log.next, task_log.tail, task_log.next_slots(3)


def random_changes(
    rng: random.Random, task_log: Any, builder: Any, attempt: int
) -> tuple[dict[str, list[int]], int]:
    """Write some changes into a row: the tasks that they concern, and the last attempt."""
    changing: dict[str, list[int]] = {}
    for _ in range(rng.randint(1, 30)):
        job, task = f"req-{rng.randrange(9):06d}", rng.randrange(300)
        machine = f"vm-{rng.randrange(400):06d}"
        progress = task_log.jobs.get(job)
        if not builder.has_space(job, machine) or task in changing.get(job, ()):
            continue
        if progress is not None and task in progress.done:
            continue
        changing.setdefault(job, []).append(task)
        kind = rng.random()
        if kind < 0.55:
            attempt += 1
            builder.add_open(job, task, attempt, machine, 1)
        elif kind < 0.85:
            builder.add_done(job, task)
        else:
            builder.add_closed(job, task)
    return changing, attempt


def next_row(
    rng: random.Random, task_log: Any, builder_class: Any, attempt: int, row_bytes: tuple[int, ...]
) -> tuple[Any, int]:
    """The value of the next row, with random changes and jobs that are over, and the last attempt.

    `row_bytes`: the size of the row, for a version that takes one.
    """
    builder = builder_class(task_log, task_log.next, task_log.reclaimable_tail(), attempt + 40, *row_bytes)
    changing, attempt = random_changes(rng, task_log, builder, attempt)
    if rng.random() < 0.02 and task_log.jobs:
        job = rng.choice(sorted(task_log.jobs))
        if job not in changing and builder.has_space(job):
            builder.add_ended_job(job)
    if row_bytes:
        builder.add_snapshots(changing)
    else:
        builder.add_snapshots()
    return orjson.loads(orjson.dumps(builder.build())), attempt


def check_new_reader(fresh: Any, rows: list[Any], reader: Any, number: int) -> None:
    """A reader that begins with all rows in any order knows what the one knows that has read each."""
    fresh.rebuild(rows)
    assert state(fresh) == state(reader), f"row {number}: a new reader differs"
    assert slots(fresh) == slots(reader), f"row {number}: a new reader's slots differ"


def play(rounds: int, seed: int, layout: int, short: int) -> None:
    """One log of `rounds` rows by both versions in turn."""
    rng = random.Random(seed)
    old = production()
    readers = [old.TaskLog(layout), TaskLog(layout)]
    stored: dict[str, tuple[int, Any]] = {}
    attempt, version, longest = 1, 10, 0
    writer = 0
    for number in range(rounds):
        if rng.random() < 0.02:
            writer = 1 - writer
        if number > rounds * 2 // 3:
            writer = 1  # all are new now
        task_log: Any = readers[writer]
        builder_class = old.RowBuilder if writer == 0 else RowBuilder
        row_bytes = () if writer == 0 else (short,)  # production's rows have the size of the layout
        value, attempt = next_row(rng, task_log, builder_class, attempt, row_bytes)
        slot, before = task_log.next_slots(1)[0]
        assert stored.get(slot, (0, None))[0] == before, "the slot's version is known"
        assert len(orjson.dumps(value)) <= (layout if writer == 0 else short)
        version += 1
        stored[slot] = (version, value)
        for reader in readers:
            reader.apply_row(slot, version, value)
        longest = max(longest, len(stored))
        assert state(readers[0]) == state(readers[1]), f"row {number}: the versions differ"
        assert slots(readers[0]) == slots(readers[1]), f"row {number}: the slots differ"
        if number % 50 == 49:
            rows = [(slot, at, value) for slot, (at, value) in stored.items()]
            rng.shuffle(rows)
            for task_log_class in (old.TaskLog, TaskLog):
                check_new_reader(task_log_class(layout), rows, readers[0], number)
    print(f"layout {layout}, rows of {short}: {rounds} rows, {longest} slots at the most, good")


def main() -> None:
    """Both sites' layouts, and shorter rows than any that are named."""
    top = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    top.add_argument("--rounds", type=int, default=4000)
    top.add_argument("--seed", type=int, default=1)
    args = top.parse_args()
    for layout, short in ((8192, 2048), (4096, 2048), (8192, 1024), (4096, 512)):
        play(args.rounds, args.seed, layout, short)


if __name__ == "__main__":
    main()
