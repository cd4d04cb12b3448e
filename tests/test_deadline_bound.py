"""Tests of the bound that `tools/deadline_bound.py` computes, on days small enough to check by hand."""

import math
import random

import pytest

from tools.deadline_bound import Capacity, DrawnJob, bounds, draw_capacity, max_in_time

TWO_CPUS = Capacity([0.0, 10.0], [1.0, 1.0])  # the second CPU is up after 10 s

SITE = {
    "machine_types": [{"name": "m", "cpus": 4.0, "boot_s": 10.0, "fetch_gb_per_s": 1.0}],
    "capacity": [{"type": "m", "count": 1, "spot": 2}],
    "machines": [{"type": "m", "count": 1}],
    "jobs": [
        {
            "name": "sweep",
            "priority": "normal",
            "cpus": 1.0,
            "initial": 3,
            "arrivals": {"rate": 0.0, "start_s": 5.0, "stop_s": 100.0},
            "tasks": {"median": 4.0, "p95": 4.0},
            "run_s": {"median": 10.0, "p95": 10.0},
            "images": {"gb": {"median": 1.0, "p95": 1.0}},
            "deadline": {"factor": 1.0, "plus_s": 30.0},
        }
    ],
}


def job(
    work: float, due_s: float, longest_s: float = 1.0, arrives_s: float = 0.0, priority: int = 2
) -> DrawnJob:
    return DrawnJob("sweep", priority, arrives_s, work, longest_s, due_s)


@pytest.mark.parametrize(("at_s", "expected"), [(0.0, 0.0), (5.0, 5.0), (10.0, 10.0), (12.0, 14.0)])
def test_only_machines_that_are_up_do_work(at_s: float, expected: float) -> None:
    assert TWO_CPUS.work_until(at_s) == expected


@pytest.mark.parametrize(
    ("jobs", "expected"),
    [
        ([job(5.0, 5.0)], 1),
        ([job(5.1, 5.0)], 0),
        ([job(1.0, 5.0, longest_s=6.0)], 0),
        ([job(4.0, 10.0, arrives_s=7.0)], 0),
        ([job(5.0, 10.0), job(5.0, 10.0), job(5.0, 10.0)], 2),
        ([job(9.0, 10.0), job(3.0, 10.0), job(3.0, 10.0)], 2),  # the large one is dropped
        ([job(100.0, math.inf)], 1),
    ],
)
def test_the_maximum_number_of_jobs_that_meet_their_deadlines(jobs: list[DrawnJob], expected: int) -> None:
    assert max_in_time(jobs, TWO_CPUS) == expected


def test_work_of_higher_priorities_reduces_the_capacity() -> None:
    urgent = [job(8.0, 10.0, priority=1), job(50.0, 100.0, arrives_s=30.0, priority=1)]
    assert max_in_time([job(5.0, 10.0)], TWO_CPUS, urgent) == 0
    assert max_in_time([job(2.0, 10.0)], TWO_CPUS, urgent) == 1, (
        "urgent jobs that arrive later do not reduce the capacity"
    )


def test_initial_machines_are_up_at_once_and_others_after_their_boot_time() -> None:
    capacity = draw_capacity(random.Random(1), SITE)
    assert len(capacity.from_s) == 3
    assert capacity.from_s[0] == 0.0
    assert all(6.0 <= at_s <= 15.0 for at_s in capacity.from_s[1:])


def test_a_site_with_capacity_for_all_has_a_bound_of_one() -> None:
    assert bounds(SITE, days=3, seed=1) == {"sweep": (1.0, 1.0)}


def test_a_site_with_impossible_deadlines_has_a_bound_of_zero() -> None:
    without_time = SITE | {"jobs": [SITE["jobs"][0] | {"deadline": {"factor": 0.5, "plus_s": 0.0}}]}
    assert bounds(without_time, days=3, seed=1) == {"sweep": (0.0, 0.0)}
