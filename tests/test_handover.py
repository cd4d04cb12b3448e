"""Handing ownership to a controller that hears the workers (`coordination.handover`)."""

import orjson
import pytest
from test_stories import quiet, running, wait
from world import Worker, World

from bayford.clock import NEVER
from bayford.coordination.leadership.transfer import WorkerContact, successor
from bayford.storage import records
from bayford.storage.key_value_store import Put

LEASE_S = 12.0  # `lease_s` of the simulated settings
OTHERS = {"n1", "n2"}


def cut_off(cluster: World, node: str) -> None:
    """No worker reaches this controller any more."""
    cluster.cut |= {(name, node) for name in cluster.workers}


def busy_cluster(parts: int = 12, machines: int = 3) -> tuple[World, str]:
    """Three controllers, machines that are full as a rule, and an owner in charge for longer than a lease."""
    cluster = quiet(machines=machines, nodes=3)
    cluster.submit("n0", cluster.job(1, crew="open", parts=parts, guess_s=500.0))
    wait(cluster, LEASE_S + 4.0, fleet=False)
    assert len(running(cluster)) == parts
    owner = cluster.owner()
    assert owner is not None
    return cluster, owner


def token(cluster: World) -> int:
    return cluster.state.rows[records.MAP][0]["token"]


def test_an_owner_without_workers_hands_over_and_nothing_stops():
    cluster, owner = busy_cluster()
    before = running(cluster)
    first = token(cluster)
    cut_off(cluster, owner)
    wait(cluster, 30.0)
    heir = cluster.owner()
    assert heir not in (None, owner), "it went through relays for as long as it kept its lease"
    assert token(cluster) == first + 1
    assert not cluster.nodes[owner].engine.owner
    assert running(cluster) == before and cluster.deleted == []
    assert {worker.at for worker in cluster.workers.values()} == {heir}
    assert cluster.cancel(owner, "req-000001") == "aborted"
    wait(cluster, 6.0)
    assert running(cluster) == []


def test_cancelled_starts_on_relayed_machines_do_not_cost_their_machines():
    """A relay passes no evidence on that closes a cancelled start. While the owner went through relays, each
    machine with such a start was deleted at half of `cancel_s`, with all other work on it."""
    cluster, owner = busy_cluster(parts=2, machines=2)
    cut_off(cluster, owner)
    wait(cluster, 8.0)  # the workers have found a relay
    cluster.submit(owner, cluster.job(2, crew="blue", parts=4, guess_s=500.0))
    cluster.step_node(owner)  # placed and durable, not started
    assert cluster.cancel(owner, "req-000002") == "aborted"
    wait(cluster, cluster.cancel_s + 5.0)
    assert cluster.deleted == []
    assert running(cluster) == ["req-000001/0", "req-000001/1"]


def test_two_controllers_that_lose_their_workers_in_turn_change_at_most_once_a_lease():
    cluster, owner = busy_cluster()
    before = running(cluster)
    first = token(cluster)
    period_s = 90.0
    for second in range(int(period_s)):
        if second % 3 == 0:  # whoever owns loses its workers, whoever owned has them back
            cluster.cut.clear()
            cut_off(cluster, cluster.owner() or owner)
        wait(cluster, 1.0, fleet=False)
    changes = token(cluster) - first
    assert 1 <= changes <= 1 + period_s / LEASE_S
    cluster.cut.clear()
    wait(cluster, 20.0, fleet=False)
    assert set(running(cluster)) >= set(before)


def test_two_controllers_without_workers_do_not_hand_to_one_another():
    cluster, owner = busy_cluster()
    also_cut = next(name for name in cluster.nodes if name != owner)
    cut_off(cluster, owner)
    cut_off(cluster, also_cut)
    first = token(cluster)
    wait(cluster, 60.0)
    assert token(cluster) == first + 1
    assert cluster.owner() not in (owner, also_cut)
    assert len(running(cluster)) == 12


def test_answers_and_writes_of_the_owner_before_the_handover_are_without_effect():
    cluster, owner = busy_cluster(parts=4)
    worker = next(iter(cluster.workers.values()))
    late_report = worker.report()
    late_answer = cluster.nodes[owner].report(late_report, NEVER)
    assert late_answer[0] == 200
    cut_off(cluster, owner)
    old = cluster.nodes[owner]
    while old.engine.owner:  # until it hands over, with something decided and not yet written
        cluster.submit(owner, cluster.job(100 + len(cluster.accepted), crew="open", parts=1))
        wait(cluster, 0.5, fleet=False)
        assert cluster.clock.now < 1100.0
    wait(cluster, 10.0, fleet=False)
    assert worker.token > orjson.loads(late_answer[1])["baton"]
    assert worker.take(late_answer, cluster.clock.now, worker.session) == 0, "its token is surpassed"
    status = old.report(late_report, NEVER).status
    assert status in (421, 503), "a report that comes late is not the old owner's to answer"
    outcome = old.store.commit({records.MAP: old.membership.view.stamp - 1}, [Put("b/probe", 1)])
    assert not outcome.applied, "a write of the term before names a map that is gone"


@pytest.mark.parametrize(
    ("healed_after_s", "changes"), [(1.0, {0, 1}), (3.0, {0, 1}), (6.0, {0, 1}), (12.0, {1})]
)
def test_a_cut_that_heals_in_the_middle(healed_after_s, changes):
    cluster, owner = busy_cluster()
    before = running(cluster)
    first = token(cluster)
    cut_off(cluster, owner)
    wait(cluster, healed_after_s)
    cluster.cut.clear()
    wait(cluster, 40.0)
    assert token(cluster) - first in changes, "one owner or the other, and no going back and forth"
    assert running(cluster) == before and cluster.deleted == []


def test_a_handover_whose_answer_is_lost_happens_once():
    cluster, owner = busy_cluster()
    first = token(cluster)
    cut_off(cluster, owner)
    while token(cluster) == first:
        cluster.state.lose_answer.add(owner)  # also of other writes: whatever is sent next
        wait(cluster, 0.5)
        assert cluster.clock.now < 1100.0
    cluster.state.lose_answer.clear()
    wait(cluster, 20.0)
    assert token(cluster) == first + 1
    assert not cluster.nodes[owner].engine.owner and len(running(cluster)) == 12


def test_controllers_that_each_miss_some_workers_keep_their_owner():
    cluster, owner = busy_cluster(parts=24, machines=6)
    first = token(cluster)
    names = list(cluster.workers)
    for node, missing in zip(cluster.names, (names[:2], names[2:4], names[4:]), strict=True):
        cluster.cut |= {(name, node) for name in missing}
    wait(cluster, 90.0)
    assert token(cluster) == first and cluster.owner() == owner
    assert len(running(cluster)) == 24 and cluster.deleted == []


def test_an_owner_with_one_worker_cut_off_keeps_the_rest():
    cluster, owner = busy_cluster()
    lost: Worker = next(iter(cluster.workers.values()))
    cluster.cut.add((lost.name, owner))
    first = token(cluster)
    wait(cluster, 40.0)
    assert token(cluster) == first and len(running(cluster)) == 12


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
def test_the_successor_hears_most_machines_and_the_owner_next_to_none(direct, relayed, expected):
    assert successor(WorkerContact(direct, relayed), OTHERS) == expected
