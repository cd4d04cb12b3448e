"""Set-up and steps shared by tests of the simulated cluster."""

from typing import Any

from fakes.cluster import SETTINGS, Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster
from fakes.worker import FakeWorker

from bayford.coordination.controller import Controller


def leader_of(cluster: Cluster) -> Controller:
    """The leader; the test fails if there is none."""
    return cluster.nodes[cluster.require_leader()]


def leader_and_other(cluster: Cluster) -> tuple[str, Controller, str]:
    """The leader's name, the leader, and the name of another controller."""
    name = cluster.require_leader()
    return name, cluster.nodes[name], next(n for n in cluster.nodes if n != name)


def cluster_running_a_job(
    parts: int = 4, machines: int = 2, nodes: int = 3, **cluster_options: Any
) -> Cluster:
    """A cluster in which all tasks of job 1 run, each expected to take 500 s."""
    cluster = started_cluster(machines=machines, nodes=nodes, **cluster_options)
    cluster.submit("n0", cluster.job(1, parts=parts, guess_s=500.0))
    run_for(cluster, 4.0, cloud=False)
    assert len(running_tasks(cluster)) == parts
    return cluster


def two_zone_cluster() -> Cluster:
    """A cluster with three controllers and two machines in each of two zones."""
    cluster = Cluster(3)
    for zone in ("north", "south", "north", "south"):
        cluster.machine(zone=zone)
    run_for(cluster, 2.0, cloud=False)
    return cluster


def worker_with_running_tasks(cluster: Cluster) -> FakeWorker:
    """The first worker that runs a task."""
    return next(worker for worker in cluster.workers.values() if worker.running())


def clear_faults(cluster: Cluster) -> None:
    """End all injected faults and restart the controllers that are down."""
    cluster.store.down = False
    for affected in (
        cluster.store.unavailable_to,
        cluster.store.reads_unanswered_for,
        cluster.store.unreachable_from,
        cluster.store.write_delay_s,
        cluster.store.loses_responses_to,
        cluster.network_cuts,
        cluster.mesh_cuts,
        cluster.paused,
    ):
        affected.clear()
    cluster.response_delay_s = 0.0
    for worker in cluster.workers.values():
        worker.unresponsive = worker.cannot_send = worker.hung = False
    for name in cluster.names:
        if name not in cluster.nodes:
            cluster.boot(name)


def recover_and_check(cluster: Cluster, seconds: float = 150.0) -> None:
    """End all injected faults, then check that every accepted job is known to all controllers and ends.

    No job may wait for 90 s while a machine and its team's limit have capacity for it.
    """
    clear_faults(cluster)
    stuck_since: dict[str, float] = {}
    for second in range(int(seconds)):
        run_for(cluster, 1.0)
        if second == 75:
            for name in cluster.nodes:
                for job_id in sorted(cluster.accepted):
                    assert cluster.query(name, job_id) is not None, f"forgotten: {job_id} on {name}"
        stuck_jobs = cluster.stuck_jobs()
        stuck_since = {job_id: stuck_since.get(job_id, cluster.clock.now) for job_id in stuck_jobs}
        for job_id, stuck_at in stuck_since.items():
            assert cluster.clock.now - stuck_at < 90.0, f"{job_id} waited for 90 s although it fits"
        for task_id in running_tasks(cluster):
            if cluster.rng.random() < 0.2:
                cluster.finish(task_id)
    for name in cluster.nodes:
        for job_id in sorted(cluster.accepted):
            assert cluster.query(name, job_id) in ("done", "aborted"), f"{job_id} never ended"
    assert not running_tasks(cluster)


def kill_controller(cluster: Cluster, name: str) -> None:
    """End the process of a controller."""
    del cluster.nodes[name]


def settings_text(next_limits: str = "") -> str:
    """A valid settings file of controller n9. `next_limits`: contents of its table `[facts.state.next]`."""
    return SETTINGS.format(
        name="n9",
        zone="north",
        writes=15.0,
        value_kb=8.0,
        cancel_s=42.0,
        next_limits=f"[facts.state.next]\n{next_limits}" if next_limits else "",
    )


VALID_SETTINGS = settings_text()
