"""Choice of the task to preempt when urgent work needs capacity (`scheduling.preemption`)."""

import pytest
from fakes.scenarios import run_for, running_tasks, started_cluster

from bayford.scheduling.model import ARRAY, SERVICE, Job, JobSpec, Placement
from bayford.scheduling.preemption import MISSED_DEADLINE_COST, REPEATED_PREEMPTION_COST, delay_cost

EXPECTED_S = 40.0


def array(tasks: int = 10, waiting: int = 10, checkpoint_interval_s: float = 0.0, shape: str = ARRAY) -> Job:
    """A job, created at second 0, with two running tasks."""
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


def test_preemption_does_not_delay_a_job_that_has_waiting_tasks() -> None:
    assert cost(array(waiting=10)) == 0.0
    assert cost(array(waiting=0)) == EXPECTED_S, "without waiting tasks, the restarted task delays the job"


def test_the_cost_of_preempting_a_task_increases_with_each_preemption() -> None:
    job = array()
    job.record_preemption(9)
    job.record_preemption(9)
    assert cost(job) == 2 * REPEATED_PREEMPTION_COST * EXPECTED_S


@pytest.mark.parametrize(
    ("due_s", "expected"),
    [
        (1000.0, 0.0),  # in time either way
        (150.0, MISSED_DEADLINE_COST * EXPECTED_S),  # in time only if it is not preempted
        (130.0, 0.0),  # late either way
    ],
)
def test_a_deadline_missed_because_of_the_preemption_adds_cost(due_s: float, expected: float) -> None:
    assert cost(array(), due_s) == expected


def test_preempting_a_service_or_a_task_with_checkpoints_adds_no_delay() -> None:
    assert cost(array(waiting=0, checkpoint_interval_s=30.0)) == 0.0
    assert cost(array(waiting=0, shape=SERVICE)) == 0.0


def test_successive_urgent_jobs_preempt_different_tasks() -> None:
    """Guards against preempting the task with the shortest running time, which is the one preempted last.

    Each urgent job then preempted the same task. In a replay resembling a recorded day, single tasks ended
    100 s after the rest of their array.
    """
    cluster = started_cluster(machines=1)
    cluster.submit("n0", cluster.job(1, crew="open", parts=4, guess_s=300.0))
    run_for(cluster, 10.0, cloud=False)
    assert len(running_tasks(cluster)) == 4
    preempted: list[str] = []
    for number in range(2, 6):
        before = set(running_tasks(cluster))
        cluster.submit("n0", cluster.job(number, crew="open", parts=1, rank="urgent", guess_s=5.0))
        run_for(cluster, 6.0, cloud=False)
        assert f"req-{number:06d}/0" in running_tasks(cluster)
        preempted += before - set(running_tasks(cluster))
        cluster.finish(f"req-{number:06d}/0")
        run_for(cluster, 6.0, cloud=False)
        assert len(running_tasks(cluster)) == 4
    assert len(preempted) == 4 and len(set(preempted)) == 4


def test_urgent_work_preempts_lower_but_not_equal_priority() -> None:
    cluster = started_cluster(machines=2)
    cluster.cloud.capacity = 0
    cluster.submit("n0", cluster.job(1, parts=8))
    cluster.step()
    cluster.step()
    assert len(running_tasks(cluster)) == 8
    cluster.submit("n0", cluster.job(2, parts=2, crew="blue", rank="urgent"))
    for _ in range(5):
        cluster.step()
    assert sum(p.startswith("req-000002") for p in running_tasks(cluster)) == 2
    cluster.submit("n0", cluster.job(3, parts=2, crew="blue", rank="urgent"))
    for _ in range(5):
        cluster.step()
    urgent = [p for p in running_tasks(cluster) if p.startswith("req-000003")]
    assert len(urgent) == 2 and sum(p.startswith("req-000002") for p in running_tasks(cluster)) == 2


def test_no_task_is_preempted_when_capacity_is_about_to_be_released() -> None:
    cluster = started_cluster(machines=2)  # 8 CPUs
    cluster.submit("n0", cluster.job(1, parts=8, crew="blue", guess_s=1.6))  # two CPUs released in 0.4 s
    run_for(cluster, 2.0, cloud=False)
    assert len(running_tasks(cluster)) == 8
    cluster.submit("n0", cluster.job(2, parts=2, crew="blue", rank="urgent"))
    cluster.step_controller("n0")
    scheduler = cluster.nodes["n0"].scheduler
    assert not scheduler.state.stopping
    cluster.finish("req-000001/0")
    cluster.finish("req-000001/1")
    run_for(cluster, 1.0, cloud=False)
    assert [p for p in running_tasks(cluster) if p.startswith("req-000002/")] == [
        "req-000002/0",
        "req-000002/1",
    ]
    cluster.submit("n0", cluster.job(3, parts=1, crew="blue", rank="urgent"))
    run_for(cluster, 3.5, cloud=False)  # without released capacity, a task is preempted
    assert "req-000003/0" in running_tasks(cluster)


def test_jobs_of_equal_priority_in_two_teams_do_not_preempt_each_other() -> None:
    """Guards against teams that preempt each other's tasks in turn.

    Each team was counted as within its guarantee while the preemptions for the other team were in progress.
    """
    cluster = started_cluster(machines=2)
    cluster.cloud.capacity = 0
    for n in (1, 2):
        cluster.submit("n0", cluster.job(n, parts=8, rank="urgent", crew="red" if n == 1 else "blue"))
    preempted = 0
    for _ in range(60):
        cluster.step(1.0)
        preempted += sum(
            p.stopping for m in cluster.nodes["n0"].scheduler.state.machines.values() for p in m.open.values()
        )
    assert preempted == 0
    assert len(running_tasks(cluster)) == 8


def test_capacity_released_by_preemption_is_reserved_for_the_job() -> None:
    """Two preemptions release the two CPUs of a job; smaller waiting tasks must not take the first CPU."""
    cluster = started_cluster(machines=1)
    cluster.cloud.capacity = 0
    cluster.submit("n0", cluster.job(1, parts=8))
    cluster.step()
    cluster.step()
    cluster.submit("n0", cluster.job(2, parts=1, cpus=2.0, crew="blue", rank="urgent"))
    node = cluster.nodes["n0"]
    node.watch_cache.pull(0.0)
    node.scheduler.round()
    worker = cluster.first_worker()
    first, second = (
        key for key, p in next(iter(node.scheduler.state.machines.values())).open.items() if p.stopping
    )
    worker.finish(first[0], "halted")
    cluster.heartbeat(worker)
    cluster.step_controller("n0")
    worker.finish(second[0], "halted")
    cluster.step()
    cluster.step()
    assert "req-000002/0" in worker.running()
