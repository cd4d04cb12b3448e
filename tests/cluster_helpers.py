"""Set-up and steps that tests of the simulated cluster share."""

from typing import Any

from test_stories import quiet, running, wait
from world import SETTINGS, Worker, World

from bayford.coordination.controller import Controller


def leader_name(cluster: World) -> str:
    """The name of the leader; the test fails if there is none."""
    name = cluster.leader()
    assert name is not None, "there is no leader"
    return name


def leader_of(cluster: World) -> Controller:
    """The leader; the test fails if there is none."""
    return cluster.nodes[leader_name(cluster)]


def leader_and_other(cluster: World) -> tuple[str, Controller, str]:
    """The leader's name, the leader, and the name of another controller."""
    name = leader_name(cluster)
    return name, cluster.nodes[name], next(n for n in cluster.nodes if n != name)


def cluster_running_a_job(parts: int = 4, machines: int = 2, nodes: int = 3, **cluster_options: Any) -> World:
    """A cluster in which all tasks of job 1 run, with long to go; workers send heartbeats to the leader."""
    cluster = quiet(machines=machines, nodes=nodes, **cluster_options)
    cluster.submit("n0", cluster.job(1, parts=parts, guess_s=500.0))
    wait(cluster, 4.0, fleet=False)
    assert len(running(cluster)) == parts
    return cluster


def two_zone_cluster() -> World:
    """Three controllers, and two machines in each of two zones."""
    cluster = World(3)
    for zone in ("north", "south", "north", "south"):
        cluster.machine(zone=zone)
    wait(cluster, 2.0, fleet=False)
    return cluster


def worker_with_running_tasks(cluster: World) -> Worker:
    """The first worker on which a task runs."""
    return next(worker for worker in cluster.workers.values() if worker.running())


def clear_faults(cluster: World) -> None:
    """End all faults and restart the controllers that are down."""
    cluster.state.down = False
    for affected in (
        cluster.state.refuses,
        cluster.state.blind,
        cluster.state.lost,
        cluster.state.lagging,
        cluster.state.unanswered,
        cluster.cut,
        cluster.mesh_cut,
        cluster.frozen,
    ):
        affected.clear()
    cluster.slow_s = 0.0
    for worker in cluster.workers.values():
        worker.deaf = worker.mute = worker.hung = False
    for name in cluster.names:
        if name not in cluster.nodes:
            cluster.boot(name)


def recover_and_check(cluster: World, seconds: float = 150.0) -> None:
    """End all faults, then check that no job is lost or waits though it fits, and that accepted jobs end."""
    clear_faults(cluster)
    stuck_since: dict[str, float] = {}
    for second in range(int(seconds)):
        wait(cluster, 1.0)
        if second == 75:
            for name in cluster.nodes:
                for job_id in sorted(cluster.accepted):
                    assert cluster.query(name, job_id) is not None, f"forgotten: {job_id} on {name}"
        stuck_jobs = cluster.stuck()
        stuck_since = {job_id: stuck_since.get(job_id, cluster.clock.now) for job_id in stuck_jobs}
        for job_id, stuck_at in stuck_since.items():
            assert cluster.clock.now - stuck_at < 90.0, f"{job_id} waits for 90 s though it fits"
        for task_id in running(cluster):
            if cluster.rng.random() < 0.2:
                cluster.finish(task_id)
    for name in cluster.nodes:
        for job_id in sorted(cluster.accepted):
            assert cluster.query(name, job_id) in ("done", "aborted"), f"{job_id} never ended"
    assert not running(cluster)


def kill_controller(cluster: World, name: str) -> None:
    """End the process of a controller."""
    del cluster.nodes[name]


def settings_text(next_limits: str = "") -> str:
    """A valid settings file of controller n9. `next_limits`: lines of its `[facts.state.next]`, as TOML."""
    return SETTINGS.format(
        name="n9",
        zone="north",
        writes=15.0,
        value_kb=8.0,
        cancel_s=42.0,
        coming=f"[facts.state.next]\n{next_limits}" if next_limits else "",
    )


VALID_SETTINGS = settings_text()
