"""Leadership transfer to a controller that receives the heartbeats (`coordination.leadership.transfer`)."""

import orjson
import pytest
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster
from fakes.worker import FakeWorker

from bayford.clock import NEVER
from bayford.coordination.leadership.membership import is_next_controller_in_same_zone
from bayford.coordination.leadership.transfer import WorkerContact, choose_successor
from bayford.storage import records
from bayford.storage.key_value_store import Put

LEASE_S = 12.0  # `lease_s` of the simulated settings
OTHERS = {"n1", "n2"}


def cut_off(cluster: Cluster, node: str) -> None:
    """Cuts the network between all workers and this controller."""
    cluster.network_cuts |= {(name, node) for name in cluster.workers}


def busy_cluster(parts: int = 12, machines: int = 3) -> tuple[Cluster, str]:
    """Returns a cluster of three controllers and the name of its leader, whose term is older than a lease.

    With the default arguments all machines are full.
    """
    cluster = started_cluster(machines=machines, nodes=3)
    cluster.submit("n0", cluster.job(1, crew="open", parts=parts, guess_s=500.0))
    run_for(cluster, LEASE_S + 4.0, cloud=False)
    assert len(running_tasks(cluster)) == parts
    leader = cluster.leader()
    assert leader is not None
    return cluster, leader


def fencing_token(cluster: Cluster) -> int:
    return int(cluster.store.rows[records.LEADERSHIP][0]["token"])


def test_a_leader_without_workers_transfers_leadership_and_no_task_stops() -> None:
    cluster, leader = busy_cluster()
    before = running_tasks(cluster)
    first = fencing_token(cluster)
    cut_off(cluster, leader)
    run_for(cluster, 30.0)
    new_leader = cluster.leader()
    assert new_leader not in (None, leader), "without a transfer the leader kept its lease and used relays"
    assert fencing_token(cluster) == first + 1
    assert not cluster.nodes[leader].scheduler.leader
    assert running_tasks(cluster) == before
    assert cluster.cloud.deleted == []
    assert {worker.reports_to for worker in cluster.workers.values()} == {new_leader}
    assert cluster.cancel(leader, "req-000001") == "aborted"
    run_for(cluster, 6.0)
    assert running_tasks(cluster) == []


def test_cancelled_starts_on_relayed_machines_cause_no_deletion() -> None:
    """A relay passes on no evidence that closes a cancelled start. Guards against a leader that keeps using
    relays: it deleted each machine with such a start at half of `cancel_s`, and with it all other work on the
    machine."""
    cluster, leader = busy_cluster(parts=2, machines=2)
    cut_off(cluster, leader)
    run_for(cluster, 8.0)  # the workers send their heartbeats to a relay by then
    cluster.submit(leader, cluster.job(2, crew="blue", parts=4, guess_s=500.0))
    cluster.step_controller(leader)  # placed and durable, not yet started
    assert cluster.cancel(leader, "req-000002") == "aborted"
    run_for(cluster, cluster.cancel_s + 5.0)
    assert cluster.cloud.deleted == []
    assert running_tasks(cluster) == ["req-000001/0", "req-000001/1"]


def test_leadership_is_transferred_at_most_once_per_lease_when_leaders_are_cut_off_in_turn() -> None:
    cluster, leader = busy_cluster()
    before = running_tasks(cluster)
    first = fencing_token(cluster)
    period_s = 90.0
    for second in range(int(period_s)):
        if second % 3 == 0:  # workers are cut off from the leader and reach its predecessor again
            cluster.network_cuts.clear()
            cut_off(cluster, cluster.leader() or leader)
        run_for(cluster, 1.0, cloud=False)
    changes = fencing_token(cluster) - first
    assert 1 <= changes <= 1 + period_s / LEASE_S
    cluster.network_cuts.clear()
    run_for(cluster, 20.0, cloud=False)
    assert set(running_tasks(cluster)) >= set(before)


def test_no_transfer_between_two_controllers_without_workers() -> None:
    cluster, leader = busy_cluster()
    also_cut = next(name for name in cluster.nodes if name != leader)
    cut_off(cluster, leader)
    cut_off(cluster, also_cut)
    first = fencing_token(cluster)
    run_for(cluster, 60.0)
    assert fencing_token(cluster) == first + 1
    assert cluster.leader() not in (leader, also_cut)
    assert len(running_tasks(cluster)) == 12


def test_late_answers_and_writes_of_the_previous_leader_have_no_effect() -> None:
    cluster, leader = busy_cluster(parts=4)
    worker = next(iter(cluster.workers.values()))
    late_heartbeat = worker.heartbeat()
    late_answer = cluster.nodes[leader].heartbeat(late_heartbeat, NEVER)
    assert late_answer[0] == 200
    cut_off(cluster, leader)
    old = cluster.nodes[leader]
    while old.scheduler.leader:  # until the transfer, with placements that are not yet durable
        cluster.submit(leader, cluster.job(100 + len(cluster.accepted), crew="open", parts=1))
        run_for(cluster, 0.5, cloud=False)
        assert cluster.clock.now < 1100.0
    run_for(cluster, 10.0, cloud=False)
    assert worker.fencing_token > orjson.loads(late_answer[1])["baton"]
    assert worker.receive(late_answer, cluster.clock.now, worker.epoch) == 0, "its fencing token is outdated"
    status = old.heartbeat(late_heartbeat, NEVER).status
    assert status in (421, 503), "the previous leader does not answer a late heartbeat"
    outcome = old.commit_loop.store.compare_and_swap(
        {records.LEADERSHIP: old.membership.record.version - 1}, [Put("b/probe", 1)]
    )
    assert not outcome.applied, "a write of the previous term names an outdated leadership record"


@pytest.mark.parametrize(
    ("healed_after_s", "changes"), [(1.0, {0, 1}), (3.0, {0, 1}), (6.0, {0, 1}), (12.0, {1})]
)
def test_a_partition_that_heals_before_during_or_after_the_transfer(
    healed_after_s: float, changes: set[int]
) -> None:
    cluster, leader = busy_cluster()
    before = running_tasks(cluster)
    first = fencing_token(cluster)
    cut_off(cluster, leader)
    run_for(cluster, healed_after_s)
    cluster.network_cuts.clear()
    run_for(cluster, 40.0)
    assert fencing_token(cluster) - first in changes, "one leader or the other, without alternating"
    assert running_tasks(cluster) == before
    assert cluster.cloud.deleted == []


def test_a_leadership_transfer_whose_answer_is_lost_happens_once() -> None:
    cluster, leader = busy_cluster()
    first = fencing_token(cluster)
    cut_off(cluster, leader)
    while fencing_token(cluster) == first:
        cluster.store.loses_next_response_to.add(leader)  # the response to any write, whichever is sent next
        run_for(cluster, 0.5)
        assert cluster.clock.now < 1100.0
    cluster.store.loses_next_response_to.clear()
    run_for(cluster, 20.0)
    assert fencing_token(cluster) == first + 1
    assert not cluster.nodes[leader].scheduler.leader
    assert len(running_tasks(cluster)) == 12


def test_no_transfer_where_each_controller_is_cut_off_from_some_workers() -> None:
    cluster, leader = busy_cluster(parts=24, machines=6)
    first = fencing_token(cluster)
    names = list(cluster.workers)
    for node, missing in zip(cluster.names, (names[:2], names[2:4], names[4:]), strict=True):
        cluster.network_cuts |= {(name, node) for name in missing}
    run_for(cluster, 90.0)
    assert fencing_token(cluster) == first
    assert cluster.leader() == leader
    assert len(running_tasks(cluster)) == 24
    assert cluster.cloud.deleted == []


def test_a_leader_with_one_worker_cut_off_stays_leader() -> None:
    cluster, leader = busy_cluster()
    unreachable: FakeWorker = next(iter(cluster.workers.values()))
    cluster.network_cuts.add((unreachable.name, leader))
    first = fencing_token(cluster)
    run_for(cluster, 40.0)
    assert fencing_token(cluster) == first
    assert len(running_tasks(cluster)) == 12


@pytest.mark.parametrize(
    ("direct", "relayed", "expected"),
    [
        (0, {}, None),
        (0, {"n1": 10}, "n1"),
        (1, {"n1": 10}, "n1"),
        (2, {"n1": 10}, None),
        (0, {"n1": 5, "n2": 5}, None),
        (0, {"n1": 6, "n2": 5}, "n1"),
        (0, {"n1": 6, "ended": 9}, None),
        (0, {"ended": 9}, None),
    ],
)
def test_the_successor_receives_most_heartbeats_and_the_leader_almost_none(
    direct: int, relayed: dict[str, int], expected: str | None
) -> None:
    assert choose_successor(WorkerContact(direct, relayed), OTHERS) == expected


def test_the_leaders_failover_neighbour_should_be_in_the_other_zone() -> None:
    zones = {f"n{n}": "east" if n % 2 else "west" for n in range(7)}
    assert [name for name in sorted(zones) if is_next_controller_in_same_zone(name, zones)] == ["n6"], (
        "its neighbour n0 is also in the zone west"
    )
    assert not any(is_next_controller_in_same_zone(name, {"n0": "a", "n1": "a"}) for name in ("n0", "n1")), (
        "with one zone it makes no difference"
    )


def test_workers_relayed_since_the_previous_leader_ended_report_to_the_next_one() -> None:
    """Guards against a transfer from a leader that the workers could reach but were not redirected to."""
    cluster, leader = busy_cluster()
    while leader != "n1":  # its workers turn to n2, and n0 leads after it
        successor = "n1"
        cluster.nodes[leader].membership.acquire_leadership(successor)
        run_for(cluster, LEASE_S + 4.0)
        leader = cluster.require_leader()
    before = running_tasks(cluster)
    first = fencing_token(cluster)
    del cluster.nodes[leader]
    run_for(cluster, 6.0)
    assert cluster.leader() == "n0"
    assert {worker.reports_to for worker in cluster.workers.values()} == {"n0"}
    run_for(cluster, LEASE_S + 10.0)
    assert fencing_token(cluster) == first + 1, "the workers reach the leader, which keeps the leadership"
    assert running_tasks(cluster) == before


@pytest.mark.parametrize("is_same_leader", [True, False])
def test_a_worker_that_returns_from_an_earlier_leader_gets_one_answer_and_is_redirected(
    is_same_leader: bool,
) -> None:
    """Guards against relaying for 30 s a worker that has not tried the present leader."""
    cluster, leader = busy_cluster()
    relay_name = next(name for name in cluster.nodes if name != leader)
    relay = cluster.nodes[relay_name].relay
    token = fencing_token(cluster)
    worker = "vm-000009"
    assert not relay.should_answer(worker, token, leader_unreachable=False, has_lost_leader=False)
    cluster.pass_time(2.0)
    token += not is_same_leader
    assert relay.should_answer(worker, token, leader_unreachable=False, has_lost_leader=False)
    cluster.pass_time(0.5)
    is_relayed = relay.should_answer(worker, token, leader_unreachable=False, has_lost_leader=True)
    assert is_relayed == is_same_leader


def test_workers_relayed_while_the_relay_does_not_reach_the_leader_return_when_it_does() -> None:
    """Guards against relaying for 10 s the workers of controllers that had just started, and a transfer."""
    cluster, leader = busy_cluster()
    fresh = [cluster.machine() for _ in range(4)]  # they have no controller's answer yet
    relay_name = next(name for name in cluster.nodes if name != leader)
    cluster.mesh_cuts.add(leader)
    cluster.nodes[relay_name].peer_poller.step()
    for worker in fresh:
        assert cluster.heartbeat(worker, relay_name) == 200
        worker.reports_to = relay_name
    cluster.mesh_cuts.clear()
    run_for(cluster, 2.0)
    assert {worker.reports_to for worker in fresh} == {leader}


def test_workers_that_return_from_a_cut_to_another_controller_cause_no_transfer() -> None:
    """Guards against a leader that hands over although workers reach it, as they came back to a relay."""
    cluster, leader = busy_cluster()
    first = fencing_token(cluster)
    for node in cluster.names:
        cut_off(cluster, node)
    run_for(cluster, 26.0)  # longer than a lease, and shorter than a machine's silence until its deletion
    cluster.network_cuts.clear()
    run_for(cluster, 40.0)
    assert fencing_token(cluster) == first
    assert cluster.leader() == leader
