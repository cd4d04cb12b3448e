"""Outages of the key-value store for one controller or for all, and controllers that were paused."""

import msgspec
import pytest
from fakes.scenarios import cluster_with_paused_leader, run_for, running_tasks, started_cluster

from bayford.clock import NEVER
from bayford.coordination.leader.scaling_actions import LaunchRequest


def test_during_an_outage_nothing_starts_and_heartbeats_are_answered_for_a_limited_time() -> None:
    cluster = started_cluster(machines=1)
    cluster.submit("n0", cluster.job(1, parts=1))
    cluster.step()
    cluster.step()
    worker = cluster.first_worker()
    cluster.store.down = True
    outage_at = cluster.clock.now
    statuses = []
    while cluster.clock.now - outage_at < 40.0:
        cluster.pass_time(1.0)
        statuses.append((cluster.clock.now - outage_at, cluster.heartbeat(worker)))
    answered = [t for t, s in statuses if s == 200]
    assert answered and max(answered) > 15.0
    assert max(answered) + cluster.lease_s < cluster.cancel_s
    assert worker.running() == ["req-000001/0"]


def test_no_machine_is_deleted_after_an_outage_longer_than_any_timeout() -> None:
    """After a limited time the leader refuses heartbeats, so all workers count as silent. The controllers
    cause that, so no machine is deleted for it."""
    cluster = started_cluster(machines=4)
    cluster.submit("n0", cluster.job(1, crew="blue", parts=16, guess_s=500.0))
    run_for(cluster, 3.0)
    before = set(cluster.workers)
    cluster.store.down = True
    run_for(cluster, 90.0)
    cluster.store.down = False
    cluster.step_controller("n0")  # it is a verified leader again before any heartbeat has arrived
    cluster.cloud_step("n0")
    run_for(cluster, 10.0)
    assert cluster.cloud.deleted == [] and set(cluster.workers) == before
    assert len(running_tasks(cluster)) == 16


def test_in_an_outage_for_all_no_controller_counts_as_isolated() -> None:
    cluster = started_cluster(machines=1, nodes=2)
    cluster.store.down = True
    run_for(cluster, 20.0, cloud=False)
    assert all(not node.connectivity.is_isolated() and node.is_healthy() for node in cluster.nodes.values())
    assert all(worker.epoch == 1 for worker in cluster.workers.values())


def test_a_controller_that_alone_is_refused_by_the_store_reports_itself_unhealthy() -> None:
    cluster = started_cluster(nodes=2)
    assert cluster.nodes["n1"].is_healthy()
    cluster.store.unavailable_to.add("n1")
    cluster.nodes["n1"].peers.pollers = {"n0": lambda timeout_s: cluster.nodes["n0"].status()}
    for _ in range(5):
        cluster.step(1.0)
        cluster.nodes["n1"].peer_poller.step()
    assert cluster.nodes["n0"].is_healthy() and not cluster.nodes["n1"].is_healthy()
    cluster.store.unavailable_to.add("n0")
    for _ in range(9):
        cluster.step(1.0)
        cluster.nodes["n1"].peer_poller.step()
    assert cluster.nodes["n1"].is_healthy(), (
        "an outage for all: every controller stays healthy and tells users to retry"
    )


@pytest.mark.parametrize("first", ["scale", "delete", "launch", "command", "heartbeat"])
@pytest.mark.parametrize("seconds", [20.0, 60.0])  # within the time limit for outages, and beyond it
def test_a_leader_that_was_paused_decides_and_commands_nothing_on_its_old_state(
    seconds: float, first: str
) -> None:
    """This holds for whichever of its threads resumes first. Guards against a thread that deletes the fleet
    because all workers seem silent for a minute."""
    cluster, old = cluster_with_paused_leader(seconds=seconds)
    assert [n for n in cluster.nodes if n != old and cluster.nodes[n].scheduler.leader], (
        "another controller has become leader"
    )
    assert len(running_tasks(cluster)) == 16
    node = cluster.nodes[old]
    launched = cluster.cloud.machines_launched
    commands: list[str] = []
    node.stop_commands.send = lambda address, body: commands.append(address)
    worker = cluster.first_worker()
    if first == "scale":
        cluster.cloud_step(old)
    elif first == "delete":
        node.cloud_operations.delete(sorted(cluster.workers))
    elif first == "launch":
        node.cloud_operations.launch(LaunchRequest("small", "north", True, 3, "backlog"))
        assert not node.scheduler.state.refused, "no request was sent to the cloud, so none was refused"
    elif first == "command":
        index = node.scheduler.state.machine_names.find(worker.name)
        assert index is not None
        for placement in node.scheduler.state.machines[index].open.values():
            node.scheduler.state.stop(placement, 0.0)
        node.stop_commands.step()
    else:
        heartbeat = msgspec.structs.replace(worker.heartbeat(), fencing_token=1, sequence=999)
        assert node.heartbeat(heartbeat, NEVER)[0] == 503
    assert cluster.cloud.deleted == [] and cluster.cloud.machines_launched == launched and commands == []
    run_for(cluster, 10.0)
    assert cluster.cloud.deleted == [] and len(running_tasks(cluster)) == 16


def test_no_machine_is_deleted_after_a_pause_of_the_only_controller() -> None:
    """No other controller becomes leader; all leases expire, and every worker returns with a new epoch."""
    cluster, name = cluster_with_paused_leader(nodes=1)
    before = set(cluster.workers)
    cluster.step_controller(name)  # it is a verified leader again before any heartbeat has arrived
    cluster.cloud_step(name)
    run_for(cluster, 10.0)
    assert cluster.cloud.deleted == [] and set(cluster.workers) >= before
    assert len(running_tasks(cluster)) == 16


def test_the_first_heartbeat_after_a_pause_waits_until_the_leader_is_verified() -> None:
    cluster, name = cluster_with_paused_leader(nodes=1, seconds=8.0)
    assert cluster.heartbeat(cluster.first_worker(), name) == 200
