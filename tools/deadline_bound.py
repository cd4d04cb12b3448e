"""How many jobs no scheduler could finish by their deadlines, on days drawn from a site file.

    python3 tools/deadline_bound.py SITE.toml [--days 50] [--seed 1]

Draws arrivals, sizes, run times and boot times as the site file describes them, without any fault,
and counts the jobs that could be in time if all work were fluid: spread over every CPU that is up, preempted
and moved for nothing, known in advance. A job is late for sure if its longest task alone is, or if it does
not fit into what the machines can do by its deadline together with the jobs that must be done before (Moore
and Hodgson, which drops as few as possible). So no scheduler exceeds the share that is printed; how close one
could come to it is not known. Lower priorities get what is left when all work of higher ones is done at once.
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

PRIORITIES = ("critical", "high", "normal", "idle")  # of site files, the highest first
QUANTILE_95 = 1.6449  # of the standard normal distribution
BOOT_FACTORS = (0.6, 1.5)  # of `boot_s`, by the protocol


@dataclass(frozen=True, slots=True)
class DrawnJob:
    """One job of a drawn day."""

    job_class: str
    priority: int  # an index of PRIORITIES
    arrives_s: float
    work: float  # CPU seconds
    longest_s: float  # its longest task, its image fetched
    due_s: float  # time of day of its deadline


@dataclass(frozen=True, slots=True)
class Capacity:
    """CPUs that are up from each moment on, in the order of the moments."""

    from_s: Sequence[float]
    cpus: Sequence[float]  # of the machine that comes up at the same place of `from_s`

    def work_until(self, at_s: float) -> float:
        """CPU seconds that all machines together can do until then."""
        up_count = bisect.bisect_right(self.from_s, at_s)
        return sum((at_s - self.from_s[n]) * self.cpus[n] for n in range(up_count))


def lognormal(rng: random.Random, spread: dict[str, float]) -> float:
    """A draw by median and 95th percentile, at most `max`."""
    sigma = (
        math.log(spread["p95"] / spread["median"]) / QUANTILE_95 if spread["p95"] > spread["median"] else 0.0
    )
    drawn = spread["median"] * math.exp(rng.gauss(0.0, sigma))
    return min(drawn, spread.get("max", math.inf))


def draw_job(rng: random.Random, kind: dict[str, Any], fetch_gb_per_s: float, arrives_s: float) -> DrawnJob:
    """One job of a class of the site file."""
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
    """All jobs of one day."""
    fetch_gb_per_s = max(kind["fetch_gb_per_s"] for kind in site["machine_types"])
    drawn_jobs: list[DrawnJob] = []
    for kind in site["jobs"]:
        arrivals = kind["arrivals"]
        moments = [0.0] * kind.get("initial", 0)
        at_s = arrivals["start_s"]
        while (
            arrivals["rate"] > 0 and (at_s := at_s + rng.expovariate(arrivals["rate"])) < arrivals["stop_s"]
        ):
            moments.append(at_s)
        drawn_jobs += [draw_job(rng, kind, fetch_gb_per_s, moment) for moment in moments]
    return drawn_jobs


def draw_capacity(rng: random.Random, site: dict[str, Any]) -> Capacity:
    """All machines that the cloud has, launched at once; those of `machines` are up from the start."""
    types = {kind["name"]: kind for kind in site["machine_types"]}
    up_at: list[tuple[float, float]] = []
    for row in site["capacity"]:
        kind = types[row["type"]]
        count = row["count"] + row.get("spot", 0)
        up_at.extend((kind["boot_s"] * rng.uniform(*BOOT_FACTORS), kind["cpus"]) for _ in range(count))
    started = sum(row["count"] for row in site.get("machines", []))
    up_at = sorted((0.0 if n < started else at_s, cpus) for n, (at_s, cpus) in enumerate(up_at))
    return Capacity([at_s for at_s, _ in up_at], [cpus for _, cpus in up_at])


def max_in_time(jobs: Sequence[DrawnJob], capacity: Capacity, taken: Sequence[DrawnJob] = ()) -> int:
    """The largest number of these jobs that can meet their deadlines, with the work of `taken` done before.

    Of `taken`, what has arrived by a deadline reduces the capacity until then.
    """
    in_time_work: list[float] = []  # a heap of the work of the jobs in time, negated: the largest first
    demand = 0.0  # CPU seconds
    for job in sorted(jobs, key=lambda job: job.due_s):
        if job.arrives_s + job.longest_s > job.due_s or job.work > _max_work(job, job.due_s, capacity):
            continue
        heapq.heappush(in_time_work, -job.work)
        demand += job.work
        if math.isinf(job.due_s):
            continue
        taken_work = sum(min(other.work, _max_work(other, job.due_s, capacity)) for other in taken)
        while in_time_work and demand + taken_work > capacity.work_until(job.due_s):
            demand += heapq.heappop(in_time_work)
    return len(in_time_work)


def _max_work(job: DrawnJob, at_s: float, capacity: Capacity) -> float:
    """CPU seconds that all machines together can spend on a job until `at_s`."""
    return (
        max(0.0, capacity.work_until(at_s) - capacity.work_until(job.arrives_s))
        if at_s > job.arrives_s
        else 0.0
    )


def bounds(site: dict[str, Any], days: int, seed: int) -> dict[str, tuple[float, float]]:
    """Per class: the share that could be in time if it were alone, and if higher priorities come first."""
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
    """Print the bounds of one site."""
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
