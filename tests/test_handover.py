"""Handing leadership to a controller that hears the workers (`coordination.leadership transfer`)."""

import orjson
import pytest
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster
from fakes.worker import FakeWorker

from bayford.clock import NEVER
from bayford.coordination.leadership.transfer import WorkerContact, successor
from bayford.storage import records
from bayford.storage.key_value_store import Put

LEASE_S = 12.0  # `lease_s` of the simulated settings
OTHERS = {"n1", "n2"}


def cut_off(cluster: Cluster, node: str) -> None:
    """No worker reaches this controller any more."""
    cluster.network_cuts |= {(name, node) for name in cluster.workers}


def busy_cluster(parts: int = 12, machines: int = 3) -> tuple[Cluster, str]:
    """Three controllers, machines that are full as a rule, and a leader in charge for longer than a lease."""
    cluster = started_cluster(machines=machines, nodes=3)
    cluster.submit("n0", cluster.job(1, crew="open", parts=parts, guess_s=500.0))
    run_for(cluster, LEASE_S + 4.0, cloud=False)
    assert len(running_tasks(cluster)) == parts
    leader = cluster.leader()
    assert leader is not None
    return cluster, leader


def fencing_token(cluster: Cluster) -> int:
    return cluster.store.rows[records.LEADERSHIP][0]["token"]


def test_an_leader_without_workers_hands_over_and_nothing_stops():
    cluster, leader = busy_cluster()
    before = running_tasks(cluster)
    first = fencing_token(cluster)
    cut_off(cluster, leader)
    run_for(cluster, 30.0)
    heir = cluster.leader()
    assert heir not in (None, leader), "it went through relays for as long as it kept its lease"
    assert fencing_token(cluster) == first + 1
    assert not cluster.nodes[leader].scheduler.leader
    assert running_tasks(cluster) == before and cluster.cloud.deleted == []
    assert {worker.reports_to for worker in cluster.workers.values()} == {heir}
    assert cluster.cancel(leader, "req-000001") == "aborted"
    run_for(cluster, 6.0)
    assert running_tasks(cluster) == []


def test_cancelled_starts_on_relayed_machines_do_not_cost_their_machines():
    """A relay passes no evidence on that closes a cancelled start. While the leader went through relays, each
    machine with such a start was deleted at half of `cancel_s`, with all other work on it."""
    cluster, leader = busy_cluster(parts=2, machines=2)
    cut_off(cluster, leader)
    run_for(cluster, 8.0)  # the workers have found a relay
    cluster.submit(leader, cluster.job(2, crew="blue", parts=4, guess_s=500.0))
    cluster.step_controller(leader)  # placed and durable, not started
    assert cluster.cancel(leader, "req-000002") == "aborted"
    run_for(cluster, cluster.cancel_s + 5.0)
    assert cluster.cloud.deleted == []
    assert running_tasks(cluster) == ["req-000001/0", "req-000001/1"]


def test_two_controllers_that_lose_their_workers_in_turn_change_at_most_once_a_lease():
    cluster, leader = busy_cluster()
    before = running_tasks(cluster)
    first = fencing_token(cluster)
    period_s = 90.0
    for second in range(int(period_s)):
        if second % 3 == 0:  # whoever owns loses its workers, whoever owned has them back
            cluster.network_cuts.clear()
            cut_off(cluster, cluster.leader() or leader)
        run_for(cluster, 1.0, cloud=False)
    changes = fencing_token(cluster) - first
    assert 1 <= changes <= 1 + period_s / LEASE_S
    cluster.network_cuts.clear()
    run_for(cluster, 20.0, cloud=False)
    assert set(running_tasks(cluster)) >= set(before)


def test_two_controllers_without_workers_do_not_hand_to_one_another():
    cluster, leader = busy_cluster()
    also_cut = next(name for name in cluster.nodes if name != leader)
    cut_off(cluster, leader)
    cut_off(cluster, also_cut)
    first = fencing_token(cluster)
    run_for(cluster, 60.0)
    assert fencing_token(cluster) == first + 1
    assert cluster.leader() not in (leader, also_cut)
    assert len(running_tasks(cluster)) == 12


def test_answers_and_writes_of_the_leader_before_the_leadership_transfer_are_without_effect():
    cluster, leader = busy_cluster(parts=4)
    worker = next(iter(cluster.workers.values()))
    late_report = worker.heartbeat()
    late_answer = cluster.nodes[leader].heartbeat(late_report, NEVER)
    assert late_answer[0] == 200
    cut_off(cluster, leader)
    old = cluster.nodes[leader]
    while old.scheduler.leader:  # until it hands over, with something decided and not yet written
        cluster.submit(leader, cluster.job(100 + len(cluster.accepted), crew="open", parts=1))
        run_for(cluster, 0.5, cloud=False)
        assert cluster.clock.now < 1100.0
    run_for(cluster, 10.0, cloud=False)
    assert worker.fencing_token > orjson.loads(late_answer[1])["baton"]
    assert worker.receive(late_answer, cluster.clock.now, worker.epoch) == 0, "its token is surpassed"
    status = old.heartbeat(late_report, NEVER).status
    assert status in (421, 503), "a report that comes late is not the old owner's to answer"
    outcome = old.store.compare_and_swap(
        {records.LEADERSHIP: old.membership.record.version - 1}, [Put("b/probe", 1)]
    )
    assert not outcome.applied, "a write of the term before names a map that is gone"


@pytest.mark.parametrize(
    ("healed_after_s", "changes"), [(1.0, {0, 1}), (3.0, {0, 1}), (6.0, {0, 1}), (12.0, {1})]
)
def test_a_cut_that_heals_in_the_middle(healed_after_s, changes):
    cluster, leader = busy_cluster()
    before = running_tasks(cluster)
    first = fencing_token(cluster)
    cut_off(cluster, leader)
    run_for(cluster, healed_after_s)
    cluster.network_cuts.clear()
    run_for(cluster, 40.0)
    assert fencing_token(cluster) - first in changes, "one owner or the other, and no going back and forth"
    assert running_tasks(cluster) == before and cluster.cloud.deleted == []


def test_a_leadership_transfer_whose_answer_is_lost_happens_once():
    cluster, leader = busy_cluster()
    first = fencing_token(cluster)
    cut_off(cluster, leader)
    while fencing_token(cluster) == first:
        cluster.store.loses_next_response_to.add(leader)  # also of other writes: whatever is sent next
        run_for(cluster, 0.5)
        assert cluster.clock.now < 1100.0
    cluster.store.loses_next_response_to.clear()
    run_for(cluster, 20.0)
    assert fencing_token(cluster) == first + 1
    assert not cluster.nodes[leader].scheduler.leader and len(running_tasks(cluster)) == 12


def test_controllers_that_each_miss_some_workers_keep_their_leader():
    cluster, leader = busy_cluster(parts=24, machines=6)
    first = fencing_token(cluster)
    names = list(cluster.workers)
    for node, missing in zip(cluster.names, (names[:2], names[2:4], names[4:]), strict=True):
        cluster.network_cuts |= {(name, node) for name in missing}
    run_for(cluster, 90.0)
    assert fencing_token(cluster) == first and cluster.leader() == leader
    assert len(running_tasks(cluster)) == 24 and cluster.cloud.deleted == []


def test_an_leader_with_one_worker_cut_off_keeps_the_rest():
    cluster, leader = busy_cluster()
    lost: FakeWorker = next(iter(cluster.workers.values()))
    cluster.network_cuts.add((lost.name, leader))
    first = fencing_token(cluster)
    run_for(cluster, 40.0)
    assert fencing_token(cluster) == first and len(running_tasks(cluster)) == 12


@pytest.mark.parametrize(
    ("direct", "relayed", "expected"),
    [
        (0, {}, None),
        (0, {"n1": 10}, "n1"),
        (1, {"n1": 10}, "n1"),
        (2, {"n1": 10}, None),
        (0, {"n1": 5, "n2": 5}, None),
        (0, {"n1": 6, "n2": 5}, "n1"),
        (0, {"n1": 6, "gone": 9}, None),
        (0, {"gone": 9}, None),
    ],
)
def test_the_successor_hears_most_machines_and_the_leader_next_to_none(direct, relayed, expected):
    assert successor(WorkerContact(direct, relayed), OTHERS) == expected
