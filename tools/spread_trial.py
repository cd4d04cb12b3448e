"""Load spread on a stand-in site: a burst on twenty machines, with locality alone, balance alone and both.

    python3 tools/spread_trial.py [--seeds 1 2] [--variants off locality balance both]

Real controllers and stand-in workers on loopback. Mirror jobs that can save run on five machines; fifteen
more machines join, and a burst of urgent builds comes whose images lie on three of them. Prints, for each
run, the highest load over the average through the burst, waits, fetches and restarts. Not for CI.
"""

import argparse
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.site import KIND, Site, await_state, job  # noqa: E402

KEEP_IDLE = "keep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\n"
ON = "spread = True\nspread_rest_s = 5.0\nspread_every_s = 2.0\n" + KEEP_IDLE
VARIANTS = {
    "off": KEEP_IDLE,
    "locality": ON + "spread_load_s = 0.0\nspread_threshold = 1e6\n",
    "balance": ON + "spread_fetch_weight = 0.0\nspread_affinity_s = 0.0\n",
    "both": ON,
}
FIRST, MACHINES = 5, 20
IMAGE_GB = 1.0
BURST_S = 30.0


def trial(script: str, seed: int, folder: Path) -> str:
    """A line of figures for one run."""
    rng = random.Random(seed)
    with Site(folder, script, MACHINES) as site:
        for _ in range(FIRST):
            site.fleet.launch(KIND, "north", True)
        mirrors = [
            job(
                500 + n,
                f"mirror-{n}",
                10,
                "mirror-trickle",
                rank="idle",
                bookmark_s=2.0,
                stash_s=0.5,
                size_gb=IMAGE_GB,
                guess_s=120.0,
            )
            for n in range(4)
        ]
        for each in mirrors:
            site.submit(each, run_s=60.0)
        await_state(lambda: max(site.fleet.loads().values()) == 1.0, "mirror jobs run")
        time.sleep(6.0)
        for n in range(MACHINES - FIRST):
            site.fleet.launch(KIND, "south", True, (f"img-{n}",) if n < 3 else ())
        submitted: dict[str, float] = {}
        begun: dict[str, float] = {}
        highest: list[float] = []
        began = time.monotonic()
        builds = 0
        while (now := time.monotonic()) - began < BURST_S:
            if builds < 24 and now - began > 4.0 + builds * 0.5:
                each = job(builds, f"img-{rng.randrange(3)}", rng.randrange(1, 5), size_gb=IMAGE_GB)
                submitted[each["id"]] = time.monotonic()
                site.submit(each, run_s=rng.uniform(4.0, 12.0))
                builds += 1
            loads = list(site.fleet.loads().values())
            average = sum(loads) / len(loads)
            if average > 0 and now - began > 4.0:
                highest.append(max(loads) / average)
            for event in list(site.fleet.history):
                if event.what == "running":
                    begun.setdefault(event.task_id, time.monotonic())
            time.sleep(0.1)
        waits = [at - submitted[part[:10]] for part, at in begun.items() if part[:10] in submitted]
        moved = [e.task_id for e in site.fleet.history if e.what == "halted"]
        fetches = len(site.fleet.fetches)
        return (
            f"{statistics.mean(highest):9.2f} {max(highest):8.2f} {statistics.mean(waits):9.2f} "
            f"{max(waits):9.2f} {len(waits):6d} {fetches:8d} {fetches * IMAGE_GB:6.0f} {len(moved):6d} "
            f"{max((moved.count(p) for p in set(moved)), default=0):10d}"
        )


def main() -> None:
    """Print a table, a line for each run."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--variants", nargs="+", choices=list(VARIANTS), default=list(VARIANTS))
    args = parser.parse_args()
    print(
        "variant  seed  highest: mean    most  wait mean  longest  tasks  fetches     GB  moves  most a task"
    )
    for variant in args.variants:
        for seed in args.seeds:
            with tempfile.TemporaryDirectory() as folder:
                line = trial(VARIANTS[variant], seed, Path(folder))
            print(f"{variant:9} {seed:3d} {line}", flush=True)


if __name__ == "__main__":
    main()
