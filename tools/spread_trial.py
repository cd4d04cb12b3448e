"""Compare load spreading by locality alone, balance alone and both, in a burst on twenty machines.

    python3 tools/spread_trial.py [--seeds 1 2] [--variants off locality balance both]

Runs real controllers and stand-in workers on loopback. Mirror jobs with checkpoints run on five machines.
Fifteen more machines join, and a burst of urgent builds is submitted whose images are cached on three of
them. Prints for each run the ratio of the highest to the average load during the burst, waits, fetches and
restarts. Not run in CI.
"""

import argparse
import random
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

# E402: these imports need the path set above.
from standins.site import KIND, Site, await_state, job

KEEP_IDLE = "keep_idle_s = 1e6\nsurplus_idle_s = 1e6\ndear_idle_s = 1e6\n"
SPREAD_ON = "spread = True\nspread_rest_s = 5.0\nspread_every_s = 2.0\n" + KEEP_IDLE
VARIANTS = {
    "off": KEEP_IDLE,
    "locality": SPREAD_ON + "spread_load_s = 0.0\nspread_threshold = 1e6\n",
    "balance": SPREAD_ON + "spread_fetch_weight = 0.0\nspread_affinity_s = 0.0\n",
    "both": SPREAD_ON,
}
INITIAL_MACHINES, MACHINES = 5, 20
IMAGE_GB = 1.0
BURST_S = 30.0


@dataclass(slots=True)
class Burst:
    """Measurements during a burst of builds; times on the monotonic clock, in seconds."""

    submitted_at: dict[str, float] = field(default_factory=dict)  # by job ID
    started_at: dict[str, float] = field(default_factory=dict)  # by task ID
    load_ratios: list[float] = field(default_factory=list)  # highest load / average load, sampled every 0.1 s


def run_trial(script: str, seed: int, folder: Path) -> str:
    """Run one trial and return its table row."""
    with Site(folder, script, MACHINES) as site:
        for _ in range(INITIAL_MACHINES):
            site.fleet.launch(KIND, "north", True)
        start_mirrors(site)
        for n in range(MACHINES - INITIAL_MACHINES):
            site.fleet.launch(KIND, "south", True, (f"img-{n}",) if n < 3 else ())
        burst = run_burst(site, random.Random(seed))
        return format_results(site, burst)


def start_mirrors(site: Site) -> None:
    """Submit mirror jobs that take checkpoints, wait until a machine is fully loaded, then 6 s more."""
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
    for mirror in mirrors:
        site.submit(mirror, run_s=60.0)
    await_state(lambda: max(site.fleet.loads().values()) == 1.0, "mirror jobs run")
    time.sleep(6.0)


def run_burst(site: Site, rng: random.Random) -> Burst:
    """Sample loads and task starts for BURST_S; submit urgent builds from 4 s on."""
    burst = Burst()
    burst_started_at = time.monotonic()
    builds = 0
    while (now := time.monotonic()) - burst_started_at < BURST_S:
        if builds < 24 and now - burst_started_at > 4.0 + builds * 0.5:
            build = job(builds, f"img-{rng.randrange(3)}", rng.randrange(1, 5), size_gb=IMAGE_GB)
            burst.submitted_at[build["id"]] = time.monotonic()
            site.submit(build, run_s=rng.uniform(4.0, 12.0))
            builds += 1
        loads = list(site.fleet.loads().values())
        average = sum(loads) / len(loads)
        if average > 0 and now - burst_started_at > 4.0:
            burst.load_ratios.append(max(loads) / average)
        for event in list(site.fleet.history):
            if event.kind == "running":
                burst.started_at.setdefault(event.task_id, time.monotonic())
        time.sleep(0.1)
    return burst


def format_results(site: Site, burst: Burst) -> str:
    """Format loads, waits, fetches and restarts as columns."""
    submitted_at, ratios = burst.submitted_at, burst.load_ratios
    waits = [
        at - submitted_at[task[:10]] for task, at in burst.started_at.items() if task[:10] in submitted_at
    ]
    moved = [event.task_id for event in site.fleet.history if event.kind == "halted"]
    fetches = len(site.fleet.fetches)
    return (
        f"{statistics.mean(ratios):9.2f} {max(ratios):8.2f} {statistics.mean(waits):9.2f} "
        f"{max(waits):9.2f} {len(waits):6d} {fetches:8d} {fetches * IMAGE_GB:6.0f} {len(moved):6d} "
        f"{max((moved.count(task_id) for task_id in set(moved)), default=0):10d}"
    )


def main() -> None:
    """Print a table with a row per run."""
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
                line = run_trial(VARIANTS[variant], seed, Path(folder))
            print(f"{variant:9} {seed:3d} {line}", flush=True)


if __name__ == "__main__":
    main()
