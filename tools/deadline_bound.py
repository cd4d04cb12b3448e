"""Compute an upper bound on the share of jobs that any scheduler could finish by their deadlines.

    python3 tools/deadline_bound.py SITE.toml [--days 50] [--seed 1]

Draws days of arrivals, sizes, run times and boot times from the distributions of the site file, without
faults, and counts the jobs that could meet their deadlines if work were fluid: known in advance, spread over
all CPUs that are up, and preempted and moved at no cost. A job is certainly late if its longest task alone
takes too long, or if its work and that of the jobs due before it exceed what the machines can do by its
deadline. In the latter case the Moore-Hodgson algorithm chooses the jobs to drop, as few as possible. No
scheduler exceeds the share that is printed; how close one could come to it is not known. Lower priorities get
the capacity that remains if all work of higher priorities is done without delay.
"""

import argparse
import bisect
import heapq
import math
import random
import sys
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

PRIORITIES = ("critical", "high", "normal", "idle")  # names in site files, the highest first
QUANTILE_95 = 1.6449  # 95th percentile of the standard normal distribution
BOOT_FACTORS = (0.6, 1.5)  # range of boot times as multiples of `boot_s`, given by the protocol


@dataclass(frozen=True, slots=True)
class DrawnJob:
    """A job of a drawn day."""

    job_class: str
    priority: int  # an index of PRIORITIES
    arrives_s: float
    work: float  # CPU seconds
    longest_s: float  # run time of its longest task plus the fetch of its image
    due_s: float  # deadline, seconds since the start of the day


@dataclass(frozen=True, slots=True)
class Capacity:
    """The times at which machines come up, ascending, and the CPUs of each machine."""

    from_s: Sequence[float]
    cpus: Sequence[float]  # CPUs of the machine that comes up at the same index of `from_s`

    def work_until(self, at_s: float) -> float:
        """Return the CPU seconds that all machines together provide until `at_s`."""
        up_count = bisect.bisect_right(self.from_s, at_s)
        return sum((at_s - self.from_s[n]) * self.cpus[n] for n in range(up_count))


def lognormal(rng: random.Random, distribution: dict[str, float]) -> float:
    """Draw from a log-normal distribution given by `median` and `p95`, capped at `max`."""
    sigma = (
        math.log(distribution["p95"] / distribution["median"]) / QUANTILE_95
        if distribution["p95"] > distribution["median"]
        else 0.0
    )
    drawn = distribution["median"] * math.exp(rng.gauss(0.0, sigma))
    return min(drawn, distribution.get("max", math.inf))


def draw_job(rng: random.Random, kind: dict[str, Any], fetch_gb_per_s: float, arrives_s: float) -> DrawnJob:
    """Draw a job of the class `kind` of the site file."""
    tasks = max(1, round(lognormal(rng, kind["tasks"])))
    mean_s = lognormal(rng, kind["run_s"])
    vary = kind.get("vary", 0.0)
    runs = [mean_s * rng.uniform(1.0 - vary, 1.0 + vary) for _ in range(tasks)]
    estimate_s = mean_s * math.exp(rng.gauss(0.0, kind.get("estimate_error", 0.0)))
    deadline = kind.get("deadline")
    due_s = arrives_s + deadline["factor"] * estimate_s + deadline["plus_s"] if deadline else math.inf
    fetch_s = lognormal(rng, kind["images"]["gb"]) / fetch_gb_per_s
    work = sum(runs) * kind["cpus"]
    priority = PRIORITIES.index(kind["priority"])
    return DrawnJob(kind["name"], priority, arrives_s, work, max(runs) + fetch_s, due_s)


def draw_day(rng: random.Random, site: dict[str, Any]) -> list[DrawnJob]:
    """Draw all jobs of one day."""
    fetch_gb_per_s = max(kind["fetch_gb_per_s"] for kind in site["machine_types"])
    drawn_jobs: list[DrawnJob] = []
    for kind in site["jobs"]:
        arrivals = kind["arrivals"]
        arrival_times = [0.0] * kind.get("initial", 0)
        at_s = arrivals["start_s"]
        while (
            arrivals["rate"] > 0 and (at_s := at_s + rng.expovariate(arrivals["rate"])) < arrivals["stop_s"]
        ):
            arrival_times.append(at_s)
        drawn_jobs += [draw_job(rng, kind, fetch_gb_per_s, arrives_s) for arrives_s in arrival_times]
    return drawn_jobs


def draw_capacity(rng: random.Random, site: dict[str, Any]) -> Capacity:
    """Draw the boot times of all machines of the cloud, launched at time 0.

    As many as the site file lists under `machines` are up from the start.
    """
    types = {kind["name"]: kind for kind in site["machine_types"]}
    up_at: list[tuple[float, float]] = []
    for row in site["capacity"]:
        kind = types[row["type"]]
        count = row["count"] + row.get("spot", 0)
        up_at.extend((kind["boot_s"] * rng.uniform(*BOOT_FACTORS), kind["cpus"]) for _ in range(count))
    started = sum(row["count"] for row in site.get("machines", []))
    up_at = sorted((0.0 if n < started else at_s, cpus) for n, (at_s, cpus) in enumerate(up_at))
    return Capacity([at_s for at_s, _ in up_at], [cpus for _, cpus in up_at])


def max_in_time(jobs: Sequence[DrawnJob], capacity: Capacity, higher_jobs: Sequence[DrawnJob] = ()) -> int:
    """Return the largest number of `jobs` that can meet their deadlines after the work of `higher_jobs`.

    At each deadline, the work of those `higher_jobs` that have arrived by then reduces the capacity.
    """
    in_time_work: list[float] = []  # heap of the negated work of the jobs in time, the largest work first
    demand = 0.0  # CPU seconds
    for job in sorted(jobs, key=lambda job: job.due_s):
        if job.arrives_s + job.longest_s > job.due_s or job.work > _available_work(job, job.due_s, capacity):
            continue
        heapq.heappush(in_time_work, -job.work)
        demand += job.work
        if math.isinf(job.due_s):
            continue
        higher_work = sum(
            min(other.work, _available_work(other, job.due_s, capacity)) for other in higher_jobs
        )
        while in_time_work and demand + higher_work > capacity.work_until(job.due_s):
            demand += heapq.heappop(in_time_work)
    return len(in_time_work)


def _available_work(job: DrawnJob, at_s: float, capacity: Capacity) -> float:
    """Return the CPU seconds that all machines together provide from the job's arrival until `at_s`."""
    return (
        max(0.0, capacity.work_until(at_s) - capacity.work_until(job.arrives_s))
        if at_s > job.arrives_s
        else 0.0
    )


def bounds(site: dict[str, Any], days: int, seed: int) -> dict[str, tuple[float, float]]:
    """Return for each class the share of jobs that could be in time: alone, and after higher priorities."""
    counts: dict[str, list[int]] = {kind["name"]: [0, 0, 0] for kind in site["jobs"]}
    rng = random.Random(seed)
    for _ in range(days):
        jobs = draw_day(rng, site)
        capacity = draw_capacity(rng, site)
        for name, count in counts.items():
            of_class = [job for job in jobs if job.job_class == name]
            higher = [job for job in jobs if of_class and job.priority < of_class[0].priority]
            count[0] += len(of_class)
            count[1] += max_in_time(of_class, capacity)
            count[2] += max_in_time(of_class, capacity, higher)
    return {name: (alone / max(1, n), after / max(1, n)) for name, (n, alone, after) in counts.items()}


def main() -> int:
    """Print the bounds for one site file."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("site", type=Path)
    parser.add_argument("--days", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    site = tomllib.loads(args.site.read_text(encoding="utf-8"))
    print(f"{'class':24} in time alone, after higher priorities (no more, of {args.days} drawn days)")
    for name, (alone, after) in bounds(site, args.days, args.seed).items():
        print(f"{name:24} {alone:.3f} {after:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
