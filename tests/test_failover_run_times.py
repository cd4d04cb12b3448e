"""Run times after a failover: the new leader has no start times of tasks that were already running."""

from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster

from bayford.scheduling.preemption import lost_work

GUESS_S = 40.0


def failed_over_cluster() -> tuple[Cluster, str]:
    """Returns a cluster in which six tasks had run for 30 s before a failover, and the new leader's name."""
    cluster = started_cluster(machines=2, nodes=2)
    cluster.submit("n0", cluster.job(1, crew="open", parts=6, guess_s=GUESS_S))
    run_for(cluster, 30.0, cloud=False)
    assert len(running_tasks(cluster)) == 6
    old = cluster.require_leader()
    del cluster.nodes[old]
    run_for(cluster, 8.0, cloud=False)
    successor = cluster.leader()
    assert successor not in (None, old)
    assert len(running_tasks(cluster)) == 6
    return cluster, successor


def test_tasks_placed_before_a_failover_do_not_change_the_expected_run_time() -> None:
    """Guards against counting them as runs of a few seconds. Jobs of the class were then expected to end at
    once, and after each failover the backlog was estimated as zero for launches, for stopping tasks and for
    the order of service."""
    cluster, successor = failed_over_cluster()
    scheduler = cluster.nodes[successor].scheduler
    for task in range(4):
        cluster.finish(f"req-000001/{task}")
    run_for(cluster, 2.0, cloud=False)
    job = scheduler.state.jobs["req-000001"]
    assert len(job.done) == 4
    assert scheduler.state.expected_run_s(job) == GUESS_S


def test_tasks_placed_by_the_new_leader_change_the_expected_run_time() -> None:
    cluster, successor = failed_over_cluster()
    scheduler = cluster.nodes[successor].scheduler
    cluster.submit(successor, cluster.job(2, crew="open", parts=2, guess_s=GUESS_S))
    run_for(cluster, 12.0, cloud=False)
    for task in range(2):
        cluster.finish(f"req-000002/{task}")
    run_for(cluster, 2.0, cloud=False)
    assert scheduler.state.expected_run_s(scheduler.state.jobs["req-000001"]) < GUESS_S


def test_stopping_a_recovered_task_loses_more_than_the_time_since_the_failover() -> None:
    cluster, successor = failed_over_cluster()
    scheduler = cluster.nodes[successor].scheduler
    job = scheduler.state.jobs["req-000001"]
    for placement in job.open.values():
        assert lost_work(job, placement, cluster.clock.now, GUESS_S) >= 0.5 * GUESS_S
