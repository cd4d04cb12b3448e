"""Set-up and steps shared by several test files."""

from __future__ import annotations

from typing import Any

from bayford.coordination.controller import Controller
from bayford.protocol import message_sizes
from bayford.storage import records
from fakes.cluster import Cluster


def started_cluster(machines: int = 2, nodes: int = 1, **cluster_fields: Any) -> Cluster:
    """A cluster with a leader that receives heartbeats from all machines."""
    cluster = Cluster(nodes, **cluster_fields)
    for _ in range(machines):
        cluster.machine()
    for _ in range(3):
        cluster.step()
    assert cluster.leader() is not None
    return cluster


def reportable_tasks() -> int:
    """How many tasks of a job like `req-000001`, of up to 9,999 tasks, a machine can report."""
    return message_sizes.reportable_tasks(message_sizes.longest_report_entry_bytes("req-000001", 9999))


def running_tasks(cluster: Cluster) -> list[str]:
    """The running tasks of all workers, sorted; a task that runs on two workers is listed twice."""
    return sorted(task_id for worker in cluster.workers.values() for task_id in worker.running())


def run_for(cluster: Cluster, seconds: float, cloud: bool = True, heartbeats: bool = True) -> None:
    """Advance the cluster in steps of 0.5 s. Workers find a controller by themselves, and no task ends.

    `cloud`: whether controllers launch, list and delete machines. `heartbeats`: whether workers send any.
    """
    for _ in range(int(seconds * 2)):
        cluster.pass_time(0.5)
        cluster.store.process_due()
        for name in list(cluster.nodes):
            cluster.step_controller(name)
        for worker in list(cluster.workers.values()):
            if heartbeats:
                cluster.heartbeat_to_any(worker)
        for name in list(cluster.nodes):
            cluster.step_controller(name)
            if cloud:
                cluster.cloud_step(name)
        cluster.check()


def leader_with_unwritten_placements(cluster: Cluster, leader: str = "n0", **fields: Any) -> Controller:
    """The leader, after it has placed the tasks of job 1 and before it writes the placements."""
    cluster.submit(leader, cluster.job(1, **fields))
    node = cluster.nodes[leader]
    node.watch_cache.pull(0.0)
    node.scheduler.round()
    return node


def replaced_leader_with_unwritten_placements() -> tuple[Cluster, str, str]:
    """A cluster and the names of its old leader, which has not written its placements, and its new leader."""
    cluster = started_cluster(nodes=2)
    old_name = cluster.require_leader()
    leader_with_unwritten_placements(cluster, old_name, parts=4)
    other = next(name for name in cluster.nodes if name != old_name)
    assert cluster.nodes[other].membership.acquire_leadership(other)
    return cluster, old_name, other


def cluster_with_paused_leader(nodes: int = 3, seconds: float = 60.0) -> tuple[Cluster, str]:
    """A cluster with 16 running tasks whose leader was paused for `seconds`, and the name of that leader."""
    cluster = started_cluster(machines=4, nodes=nodes)
    cluster.submit("n0", cluster.job(1, crew="blue", parts=16, guess_s=500.0))
    run_for(cluster, 3.0, cloud=False)
    assert len(running_tasks(cluster)) == 16
    old = cluster.require_leader()
    cluster.paused.add(old)
    for _ in range(int(seconds * 2)):
        cluster.step(0.5)
        for worker in cluster.workers.values():
            cluster.heartbeat_to_any(worker)
    cluster.paused.clear()
    assert cluster.nodes[old].scheduler.leader, "the paused leader resumes with its old state"
    return cluster, old


def task_log_rows(cluster: Cluster) -> dict[str, Any]:
    return {key: row for key, row in cluster.store.rows.items() if key.startswith(records.LOG)}
