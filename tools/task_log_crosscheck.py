"""Check that the task log of this version is compatible with that of the version in production.

    python tools/task_log_crosscheck.py [--rounds N] [--seed N]

Not run in CI, because it needs the git history: `deploy/service.toml` names the commit in production, and
its `storage/ledger.py` is read from the history and run unchanged. Both versions write rows to one log in
turn, as leaders do during an upgrade, the old version with the current row size limit and the new version
with the smaller future limit. Readers of both versions, including new readers, must compute the same state
and find the same free slots.
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

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from bayford.storage import records  # noqa: E402
from bayford.storage.row_builder import RowBuilder  # noqa: E402
from bayford.storage.task_log import TaskLog  # noqa: E402

# Names that the production module imports from `records` -> their present objects.
RECORDS_ALIASES = {"Unreadable": records.UnreadableError}

# Present names -> names of the same things in the production module.
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


def load_production_module() -> ModuleType:
    """Load the task log module of the version in production, with aliases for the present names."""
    commit = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"]
    git_command = ["git", "show", f"{commit}:bayford/storage/ledger.py"]
    source = subprocess.run(git_command, cwd=ROOT, check=True, capture_output=True, text=True).stdout
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "production_ledger.py"
        path.write_text(source)
        spec = importlib.util.spec_from_file_location("production_ledger", path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules["production_ledger"] = module
        for name, record_class in RECORDS_ALIASES.items():
            setattr(records, name, record_class)
        spec.loader.exec_module(module)
    for name, old_name in CLASSES.items():
        setattr(module, name, getattr(module, old_name))
    for name, old_name in TASK_LOG_METHODS.items():
        setattr(module.TaskLog, name, getattr(module.TaskLog, old_name))
    for name, old_name in ROW_BUILDER_METHODS.items():
        setattr(module.RowBuilder, name, getattr(module.RowBuilder, old_name))
    return module


def open_and_done_tasks(task_log: Any) -> dict[str, Any]:
    """Return the open and completed tasks of each job that has any."""
    jobs = {}
    for job, progress in task_log.jobs.items():
        if progress.open or progress.done:
            jobs[job] = (dict(progress.open), set(progress.done))
    return jobs


def slot_state(task_log: Any) -> Any:
    """Return the next position, the tail and the next three slots of a task log."""
    return task_log.next, task_log.tail, task_log.next_slots(3)


def random_changes(
    rng: random.Random, task_log: Any, builder: Any, attempt: int
) -> tuple[dict[str, list[int]], int]:
    """Add random changes to a row; return the changed tasks by job and the last attempt number."""
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
    """Return the next row, with random changes and sometimes a finished job, and the last attempt number.

    `row_bytes` holds the row size limit, for a version that takes one, else it is empty.
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
    """Check that a new reader, given all rows in any order, reaches the state of one that read each row."""
    fresh.rebuild(rows)
    assert open_and_done_tasks(fresh) == open_and_done_tasks(reader), (
        f"row {number}: the state of a new reader differs"
    )
    assert slot_state(fresh) == slot_state(reader), f"row {number}: the slots of a new reader differ"


def check_compatibility(rounds: int, seed: int, layout_bytes: int, new_row_bytes: int) -> None:
    """Write one log of `rounds` rows with both versions in turn, and check all readers.

    Raises `AssertionError` on a difference. `layout_bytes` and `new_row_bytes` are the row size limits of the
    old and the new version.
    """
    rng = random.Random(seed)
    old = load_production_module()
    readers = [old.TaskLog(layout_bytes), TaskLog(layout_bytes)]
    stored: dict[str, tuple[int, Any]] = {}
    attempt, version, max_slots = 1, 10, 0
    writer = 0
    for number in range(rounds):
        if rng.random() < 0.02:
            writer = 1 - writer
        if number > rounds * 2 // 3:
            writer = 1  # the upgrade is complete
        task_log: Any = readers[writer]
        builder_class = old.RowBuilder if writer == 0 else RowBuilder
        # The production version has no parameter for the row size: its rows have the size of the layout.
        row_bytes = () if writer == 0 else (new_row_bytes,)
        value, attempt = next_row(rng, task_log, builder_class, attempt, row_bytes)
        slot, before = task_log.next_slots(1)[0]
        assert stored.get(slot, (0, None))[0] == before, (
            f"row {number}: next_slots gives a wrong version of slot {slot}"
        )
        assert len(orjson.dumps(value)) <= (layout_bytes if writer == 0 else new_row_bytes)
        version += 1
        stored[slot] = (version, value)
        for reader in readers:
            reader.apply_row(slot, version, value)
        max_slots = max(max_slots, len(stored))
        assert open_and_done_tasks(readers[0]) == open_and_done_tasks(readers[1]), (
            f"row {number}: the states of the two versions differ"
        )
        assert slot_state(readers[0]) == slot_state(readers[1]), (
            f"row {number}: the slots of the two versions differ"
        )
        if number % 50 == 49:
            rows = [(slot, at, value) for slot, (at, value) in stored.items()]
            rng.shuffle(rows)
            for task_log_class in (old.TaskLog, TaskLog):
                check_new_reader(task_log_class(layout_bytes), rows, readers[0], number)
    print(
        f"layout {layout_bytes}, rows of {new_row_bytes}: {rounds} rows, {max_slots} slots at the most, good"
    )


def main() -> None:
    """Check the layouts of both sites, also with rows shorter than any configured limit."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=4000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for layout_bytes, new_row_bytes in ((8192, 2048), (4096, 2048), (8192, 1024), (4096, 512)):
        check_compatibility(args.rounds, args.seed, layout_bytes, new_row_bytes)


if __name__ == "__main__":
    main()
