"""Set-up and queries for tests in which a whole zone is lost and returns."""

from typing import Any

from cluster_helpers import leader_of
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks

from bayford.coordination.leader.scheduler import Scheduler
from bayford.recovery import zone_record
from bayford.scheduling.policy import Policy

RECOVERY_POLICY = Policy(
    hold_s=0.0,
    hold_idle_s=0.0,
    recovery=True,
    return_order=("hot", "sweep"),
    extra_classes=("hot", "sweep"),
    keep_idle_s=1e6,
    surplus_idle_s=1e6,
    on_demand_idle_s=1e6,
)


def recovery_cluster(machines: int = 8, nodes: int = 3, seed: int = 1) -> Cluster:
    """A cluster with machines in two zones and a leader in zone north."""
    cluster = Cluster(nodes, policy=RECOVERY_POLICY, seed=seed)
    cluster.cloud.capacity = 0
    for n in range(machines):
        cluster.machine(zone="south" if n % 2 else "north")
    run_for(cluster, 16.0)  # longer than a lease, before which a new leader cannot detect the loss of a zone
    return cluster


def cut_zone_off(cluster: Cluster, zone: str = "south") -> None:
    """Disconnect the machines of a zone from all controllers."""
    names = [worker.name for worker in cluster.workers.values() if worker.zone == zone]
    cluster.network_cuts |= {(name, node) for name in names for node in cluster.names}


def reconnect_zones(cluster: Cluster) -> None:
    """End all network partitions between workers and controllers."""
    cluster.network_cuts.clear()


def zone_index(scheduler: Scheduler, zone: str) -> int:
    """The index of a zone; fails the test if the scheduler does not know the zone."""
    index = scheduler.state.zones.find(zone)
    assert index is not None, f"the scheduler knows no machine in {zone}"
    return index


def zone_state(cluster: Cluster, zone: str = "south") -> str:
    """The state of a zone according to the leader."""
    scheduler = leader_of(cluster).scheduler
    return scheduler.zone_monitor.statuses[zone_index(scheduler, zone)].state.value


def stored_zone_record(cluster: Cluster, zone: str = "south") -> zone_record.ZoneRecord:
    """The record of a zone in the key-value store."""
    return zone_record.decode(cluster.store.rows[zone_record.key(zone)][0])


def running_in_zone(cluster: Cluster, zone: str = "south") -> list[str]:
    """The tasks running on machines of a zone, sorted."""
    return sorted(
        task_id for worker in cluster.workers.values() if worker.zone == zone for task_id in worker.running()
    )


def fill_with_one_job(cluster: Cluster, **fields: Any) -> list[str]:
    """Run a job with one task per CPU of the cluster; returns its tasks that run in zone south."""
    tasks = 4 * len(cluster.workers)
    cluster.submit("n0", cluster.job(1, **({"crew": "open", "parts": tasks, "guess_s": 900.0} | fields)))
    run_for(cluster, 5.0)
    assert len(running_tasks(cluster)) == tasks
    return running_in_zone(cluster)
