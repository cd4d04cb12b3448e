"""Measure the loss and return of a zone on a stand-in site, with and without zone recovery. Not run in CI.

    python3 tools/zone_trial.py [--machines 12] [--seeds 1 2]

Runs real controllers and stand-in workers on loopback, with a lease of 6 s. Half of the machines are in the
zone that is partitioned. All machines are half full, so that the other zone can take over its tasks. Prints
the seconds from the partition until all affected tasks run again, the seconds from the return until each
class is served, and the number of repeated task starts.
"""

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

# E402: these imports need the path set above.
from standins.site import KIND, Site, await_state, job

KEEP_IDLE = (
    "keep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\nspread = True\n"
    "extra_classes = ['rebuild-sweep']\n"
)
VARIANTS = {
    "off": "",
    "on": "recovery = True\nreturn_order = ['hot-builds', 'rebuild-sweep', 'mirror-trickle']\n",
}
CLASSES = ["mirror-trickle", "rebuild-sweep", "hot-builds"]  # in the order of submission
TIMEOUT_S = 300.0


def run_trial(script: str, machines: int, seed: int, folder: Path) -> str:
    """Run one trial and return its table row."""
    rng = random.Random(seed)
    # The cloud's capacity is below the machines launched here, so that the controllers can launch no others.
    with Site(folder, script + KEEP_IDLE, machines // 2, lease_s=6.0) as site:

        def count_running(prefix: str) -> int:
            workers = list(site.fleet.workers.values())
            tasks = [a for w in workers if not w.controls.is_partitioned for a in list(w.tasks.values())]
            return sum(a.phase == "running" and a.task_id.startswith(prefix) for a in tasks)

        for n in range(machines):
            site.fleet.launch(KIND, "south" if n % 2 else "north", True)
        tasks = machines * int(KIND.cpus) // 2
        site.submit(job(0, "img-0", tasks, "mirror-trickle", rank="idle"), run_s=1e9)
        await_state(lambda: count_running("req-000000") == tasks, "all tasks run", TIMEOUT_S)
        time.sleep(8.0 + rng.random())  # longer than a lease
        site.fleet.set_zone_partitioned("south", partitioned=True)
        partitioned_at = time.monotonic()
        await_state(lambda: count_running("req-000000") == tasks, "all tasks run elsewhere", TIMEOUT_S)
        recovery_s = time.monotonic() - partitioned_at
        for number, name in enumerate(CLASSES, 1):
            site.submit(job(number, f"img-{number}", machines * 2, name, yard="south", rank="normal"), 1e9)
        site.fleet.set_zone_partitioned("south", partitioned=False)
        for _ in range(machines // 2):
            site.fleet.launch(KIND, "south", True)
        returned_at = time.monotonic()
        served_after_s: dict[str, float] = {}
        while len(served_after_s) < len(CLASSES) - 1 and time.monotonic() - returned_at < 60.0:
            for number, name in enumerate(CLASSES, 1):
                if name not in served_after_s and count_running(f"req-{number:06d}") == machines * 2:
                    served_after_s[name] = time.monotonic() - returned_at
            time.sleep(0.1)
        starts = sum(event.kind == "running" for event in site.fleet.history)
        counts = [count_running(f"req-{number:06d}") for number in range(1, 4)]
        served_columns = "  ".join(f"{name} {served_after_s[name]:.1f}" for name in served_after_s)
        return f"{recovery_s:8.1f} {starts - tasks - sum(counts):8d}   {served_columns}; running {counts}"


def main() -> None:
    """Print a table with a row per run."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--machines", type=int, default=12)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    args = parser.parse_args()
    print("variant machines seed  again s  repeats   served after the return, s")
    for variant, script in VARIANTS.items():
        for seed in args.seeds:
            with tempfile.TemporaryDirectory() as folder:
                line = run_trial(script, args.machines, seed, Path(folder))
            print(f"{variant:7} {args.machines:8d} {seed:4d} {line}", flush=True)


if __name__ == "__main__":
    main()
