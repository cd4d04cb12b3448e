"""Which task is stopped when urgent work needs room (`scheduling.preemption`)."""

import pytest
from test_stories import quiet, running, wait

from bayford.scheduling.model import ARRAY, SERVICE, Job, JobSpec, Placement
from bayford.scheduling.preemption import MISSED_DEADLINE, REPEATED_STOP, delay_cost

EXPECTED_S = 40.0


def array(tasks: int = 10, waiting: int = 10, checkpoint_interval_s: float = 0.0, shape: str = ARRAY) -> Job:
    """A job of which two tasks run, created at second 0."""
    spec = JobSpec(
        "req-1",
        "sweep",
        "red",
        1,
        tasks,
        1.0,
        0.0,
        1.0,
        "image",
        1.0,
        None,
        None,
        False,
        False,
        True,
        EXPECTED_S,
        checkpoint_interval_s,
        0.0,
        None,
        shape,
    )
    job = Job(spec, 0, 0, 0, None, None, created=0.0, created_wall=0.0)
    job.waiting = list(range(waiting))
    for task in (8, 9):
        job.open[task] = Placement(job, task, 1, 0, 1, f"req-1/{task}", running_since=100.0)
    return job


def cost(job: Job, due_s: float | None = None, now: float = 110.0) -> float:
    return delay_cost(job, job.open[9], now, EXPECTED_S, due_s)


def test_a_job_with_tasks_waiting_loses_no_time_by_one_more():
    assert cost(array(waiting=10)) == 0.0
    assert cost(array(waiting=0)) == EXPECTED_S, "its last task begins anew"


def test_each_stop_makes_the_next_one_dearer():
    job = array()
    job.note_preemption(9)
    job.note_preemption(9)
    assert cost(job) == 2 * REPEATED_STOP * EXPECTED_S


@pytest.mark.parametrize(
    ("due_s", "expected"),
    [
        (1000.0, 0.0),  # in time either way
        (150.0, MISSED_DEADLINE * EXPECTED_S),  # in time only if it goes on
        (130.0, 0.0),  # late either way
    ],
)
def test_a_deadline_that_the_stop_would_miss_counts(due_s, expected):
    assert cost(array(), due_s) == expected


def test_what_keeps_its_progress_costs_nothing_more():
    assert cost(array(waiting=0, checkpoint_interval_s=30.0)) == 0.0
    assert cost(array(waiting=0, shape=SERVICE)) == 0.0


def test_the_same_task_is_not_stopped_again_and_again():
    """The task that was stopped last had always run for the shortest time, so each urgent job stopped it once
    more: on a recorded day's like, single tasks ended a hundred seconds after the rest of their array."""
    cluster = quiet(machines=1)
    cluster.submit("n0", cluster.job(1, crew="open", parts=4, guess_s=300.0))
    wait(cluster, 10.0, fleet=False)
    assert len(running(cluster)) == 4
    stopped = []
    for number in range(2, 6):
        before = set(running(cluster))
        cluster.submit("n0", cluster.job(number, crew="open", parts=1, rank="urgent", guess_s=5.0))
        wait(cluster, 6.0, fleet=False)
        assert f"req-{number:06d}/0" in running(cluster)
        stopped += before - set(running(cluster))
        cluster.finish(f"req-{number:06d}/0")
        wait(cluster, 6.0, fleet=False)
        assert len(running(cluster)) == 4
    assert len(stopped) == 4 and len(set(stopped)) == 4
