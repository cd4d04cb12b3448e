"""Which task is preempted when urgent work needs capacity (`scheduling.preemption`)."""

import pytest
from fakes.scenarios import run_for, running_tasks, started_cluster

from bayford.scheduling.model import ARRAY, SERVICE, Job, JobSpec, Placement
from bayford.scheduling.preemption import MISSED_DEADLINE_COST, REPEATED_PREEMPTION_COST, delay_cost

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


def test_a_job_with_waiting_tasks_loses_no_time_by_one_more() -> None:
    assert cost(array(waiting=10)) == 0.0
    assert cost(array(waiting=0)) == EXPECTED_S, "its last task begins anew"


def test_each_preemption_makes_the_next_one_costlier() -> None:
    job = array()
    job.record_preemption(9)
    job.record_preemption(9)
    assert cost(job) == 2 * REPEATED_PREEMPTION_COST * EXPECTED_S


@pytest.mark.parametrize(
    ("due_s", "expected"),
    [
        (1000.0, 0.0),  # in time either way
        (150.0, MISSED_DEADLINE_COST * EXPECTED_S),  # in time only if it goes on
        (130.0, 0.0),  # late either way
    ],
)
def test_a_deadline_that_the_preemption_would_miss_counts(due_s: float, expected: float) -> None:
    assert cost(array(), due_s) == expected


def test_preempting_what_keeps_its_progress_costs_nothing_more() -> None:
    assert cost(array(waiting=0, checkpoint_interval_s=30.0)) == 0.0
    assert cost(array(waiting=0, shape=SERVICE)) == 0.0


def test_the_same_task_is_not_preempted_again_and_again() -> None:
    """The task preempted last had always run for the shortest time, so each urgent job preempted it once
    more: on a recorded day's like, single tasks ended a hundred seconds after the rest of their array."""
    cluster = started_cluster(machines=1)
    cluster.submit("n0", cluster.job(1, crew="open", parts=4, guess_s=300.0))
    run_for(cluster, 10.0, cloud=False)
    assert len(running_tasks(cluster)) == 4
    stopped: list[str] = []
    for number in range(2, 6):
        before = set(running_tasks(cluster))
        cluster.submit("n0", cluster.job(number, crew="open", parts=1, rank="urgent", guess_s=5.0))
        run_for(cluster, 6.0, cloud=False)
        assert f"req-{number:06d}/0" in running_tasks(cluster)
        stopped += before - set(running_tasks(cluster))
        cluster.finish(f"req-{number:06d}/0")
        run_for(cluster, 6.0, cloud=False)
        assert len(running_tasks(cluster)) == 4
    assert len(stopped) == 4 and len(set(stopped)) == 4


def test_urgent_work_preempts_sweeps_but_not_equals() -> None:
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


def test_nothing_is_preempted_for_capacity_that_is_released_in_a_moment() -> None:
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
    run_for(cluster, 3.5, cloud=False)  # but when nothing is released, something is preempted
    assert "req-000003/0" in running_tasks(cluster)


def test_equals_of_two_teams_do_not_preempt_one_another_in_turn() -> None:
    """Each team once counted as within its guarantee while the other's preemptions were still in flight."""
    cluster = started_cluster(machines=2)
    cluster.cloud.capacity = 0
    for n in (1, 2):
        cluster.submit("n0", cluster.job(n, parts=8, rank="urgent", crew="red" if n == 1 else "blue"))
    stopped = 0
    for _ in range(60):
        cluster.step(1.0)
        stopped += sum(
            p.stopping for m in cluster.nodes["n0"].scheduler.state.machines.values() for p in m.open.values()
        )
    assert stopped == 0
    assert len(running_tasks(cluster)) == 8


def test_capacity_preempted_for_a_job_is_kept_for_it() -> None:
    """Two preemptions free two CPUs on one machine; smaller waiting tasks must not take the first of them."""
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
