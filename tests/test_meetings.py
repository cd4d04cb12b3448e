"""Where two troubles meet: a story for each meeting that the operators have named (docs/meetings.md).

Each story brings its meeting about, asserts that it did come about, and leaves the rules to the world's
watch: it checks them at every start, at every answer to a user and at every step.
"""

import threading

import orjson
import pytest
from fakes.cluster import Cluster
from fakes.scenarios import leader_with_unwritten_placements, run_for, running_tasks, started_cluster
from fakes.worker import FakeWorker

from bayford.coordination.controller import Controller
from bayford.protocol import mesh, workers
from bayford.scheduling.policy import Policy
from bayford.transport.http_handlers import PeerHandler
from bayford.transport.http_server import Request


def owned(cluster: Cluster) -> tuple[str, Controller, str]:
    """The leader's name, the leader, and another controller."""
    name = cluster.leader()
    assert name is not None
    return name, cluster.nodes[name], next(n for n in cluster.nodes if n != name)


def at_work(parts: int = 4, machines: int = 2, nodes: int = 3, **cluster_fields) -> Cluster:
    """A world in which job 1 runs and has long to go; workers have settled at the leader."""
    cluster = started_cluster(machines=machines, nodes=nodes, **cluster_fields)
    cluster.submit("n0", cluster.job(1, parts=parts, guess_s=500.0))
    run_for(cluster, 4.0, cloud=False)
    assert len(running_tasks(cluster)) == parts
    return cluster


def two_zones() -> Cluster:
    """A world with two machines in each zone."""
    cluster = Cluster(3)
    for zone in ("north", "south", "north", "south"):
        cluster.machine(zone=zone)
    run_for(cluster, 2.0, cloud=False)
    return cluster


def holder(cluster: Cluster) -> FakeWorker:
    return next(worker for worker in cluster.workers.values() if worker.running())


# -- the gap: the leader alone is refused, another confirms cancellations, then the service is down for all --


@pytest.mark.parametrize("news", [True, False])
@pytest.mark.parametrize("refused_s", [0.5, 1.5, 2.4])
def test_in_the_gap_cancelled_tasks_are_gone_in_time(refused_s, news):
    """With news over the mesh they are stopped at once; without, the bound on old views sees to it."""
    cluster = at_work()
    name, leader, other = owned(cluster)
    if not news:
        cluster.mesh_cuts.add(name)
    cluster.store.unavailable_to.add(name)
    run_for(cluster, refused_s, cloud=False)
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.nodes[other].notices.send()
    cluster.store.down = True
    assert not leader.watch_cache.is_cancelled("req-000001"), "the owner has not read it"
    run_for(cluster, 2.0)
    told = cluster.clock.now
    if news:
        run_for(cluster, 3.0)
        assert not running_tasks(cluster), "halted on the other controller's word"
    run_for(cluster, cluster.cancel_s + 5.0)  # the world watches the bound
    assert cluster.clock.now - told > cluster.cancel_s and not running_tasks(cluster)
    assert cluster.leader() == name, "nobody has taken over: the service was down for all"
    cluster.store.unavailable_to.clear()
    cluster.store.down = False
    cluster.mesh_cuts.clear()
    run_for(cluster, 10.0)
    assert {cluster.query(n, "req-000001") for n in cluster.nodes} == {"aborted"}


def test_an_leader_whose_reads_fail_does_not_take_its_writes_for_a_view_of_the_cancellations():
    """Its commits and comparisons of the leadership record held, while it learned of nothing that others had
    confirmed."""
    cluster = at_work(machines=4)
    name, leader, other = owned(cluster)
    cluster.submit(name, cluster.job(2, crew="blue", parts=12, guess_s=500.0))
    run_for(cluster, 3.0, cloud=False)
    cluster.mesh_cuts.add(name)
    cluster.store.reads_unanswered_for.add(name)
    run_for(cluster, 1.0, cloud=False)
    assert cluster.cancel(other, "req-000001") == "aborted"
    before = cluster.store.revision
    for task in range(12):  # it writes all the time
        cluster.finish(f"req-000002/{task}")
        run_for(cluster, 1.5, cloud=False)
    assert leader.scheduler.leader and cluster.store.revision - before > 10
    assert not leader.watch_cache.is_cancelled("req-000001")
    cluster.store.down = True
    run_for(cluster, cluster.cancel_s, cloud=False)
    assert not [p for p in running_tasks(cluster) if p.startswith("req-000001/")]


@pytest.mark.parametrize("mixed", [False, True])
def test_in_the_gap_a_machine_that_hangs_with_cancelled_tasks_is_deleted_in_time(mixed):
    """Nobody can be sure to be the leader, and a machine that hangs heeds no lease. It goes, and it alone; if
    it holds other work too, only when there is just the time for it left."""
    cluster = at_work(parts=2 if mixed else 8, cancel_s=30.0)
    name, leader, other = owned(cluster)
    assert leader.scheduler.staleness_limit() < 0.5 * cluster.cancel_s, "no longer sure when it has to act"
    if mixed:
        cluster.submit(name, cluster.job(2, crew="blue", parts=6, guess_s=500.0))
        run_for(cluster, 3.0, cloud=False)
    hung = holder(cluster)
    assert {p.split("/")[0] for p in hung.running()} >= {"req-000001"}
    hung.hung = True
    cluster.store.unavailable_to.add(name)
    run_for(cluster, 1.0)
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.store.down = True
    run_for(cluster, 0.6 * cluster.cancel_s)
    assert cluster.cloud.deleted == ([] if mixed else [hung.name])
    run_for(cluster, 0.4 * cluster.cancel_s + 2.0)
    assert cluster.cloud.deleted == [hung.name]


def test_an_outage_with_nothing_cancelled_costs_no_machine_though_some_hang():
    cluster = at_work(parts=8)
    cluster.store.down = True
    run_for(cluster, 15.0)
    holder(cluster).hung = True  # not silent for long enough yet when the leader stops judging
    run_for(cluster, cluster.cancel_s)
    assert cluster.cloud.deleted == []


def test_an_leader_that_is_refused_alone_deletes_nothing_unverified():
    """Another is served, so it is that one's to judge: it has taken over, or is about to."""
    cluster = at_work(parts=8)
    name, leader, other = owned(cluster)
    cluster.store.unavailable_to.add(name)
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.nodes[other].notices.send()
    assert leader.scheduler.state.jobs["req-000001"].cancelled
    assert not leader.no_competing_leader()
    cluster.store.down = True
    run_for(cluster, 8.0, cloud=False)  # by then no other says any more that it is served
    assert leader.no_competing_leader()
    leader.peers.served_at[other] = cluster.clock.now
    assert not leader.no_competing_leader(), "another is served"
    leader.peers.served_at.clear()
    leader.membership.observe_token(leader.membership.record.fencing_token + 1)
    assert not leader.no_competing_leader(), "somebody has seen a higher token"


def test_a_relay_stops_what_it_knows_as_cancelled_without_a_fresh_view():
    cluster = at_work(machines=1)
    name, _, other = owned(cluster)
    worker = holder(cluster)
    cluster.network_cuts.add((worker.name, name))
    run_for(cluster, 6.0, cloud=False)
    relay = worker.reports_to
    assert relay != name and running_tasks(cluster)
    confirming = next(n for n in cluster.nodes if n not in (name, relay))
    cluster.store.unavailable_to.add(relay)
    assert cluster.cancel(confirming, "req-000001") == "aborted"
    cluster.store.down = True
    cluster.nodes[relay].on_cancellations({"req-000001": cluster.clock.wall()})
    cluster.heartbeat(worker, relay)
    assert not running_tasks(cluster)


def test_direct_stops_of_cancelled_jobs_go_out_on_any_view_and_others_do_not():
    cluster = at_work(parts=2, machines=1)
    name, leader, other = owned(cluster)
    worker = holder(cluster)
    worker.cannot_send = True
    cluster.store.unavailable_to.add(name)
    run_for(cluster, 0.5, cloud=False)
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.store.down = True
    cluster.pass_time(leader.scheduler.staleness_limit() + 1.0)
    assert not leader.is_verified_leader()
    assert cluster.nodes[other].notices.send()
    cluster.step_controller(name)
    assert not running_tasks(cluster), "halted by a direct command"


def test_a_cancellation_is_told_to_the_leader_until_it_hears_and_not_for_ever():
    cluster = at_work()
    name, leader, other = owned(cluster)
    cluster.mesh_cuts.add(name)
    cluster.store.unavailable_to.add(name)
    assert cluster.cancel(other, "req-000001") == "aborted"
    assert not cluster.nodes[other].notices.send()
    cluster.mesh_cuts.clear()
    assert cluster.nodes[other].notices.send() and leader.scheduler.state.jobs["req-000001"].cancelled
    cluster.mesh_cuts.add(name)
    cluster.submit(other, cluster.job(2))
    assert cluster.cancel(other, "req-000002") == "aborted"
    assert not cluster.nodes[other].notices.send()
    cluster.pass_time(cluster.cancel_s)
    assert cluster.nodes[other].notices.send(), "too late to be of use to anybody"


def test_news_of_cancellations_over_the_mesh_are_checked_and_unknown_to_older_releases():
    cluster = started_cluster(nodes=2)
    name, leader, other = owned(cluster)
    cluster.submit(name, cluster.job(1))
    run_for(cluster, 2.0, cloud=False)
    ours = PeerHandler(leader)
    for body in (b"{", b"[]", b'{"req-000001":"now"}', b'{"req-000001":null}'):
        assert ours.handle(Request("POST", mesh.CANCELLED_PATH, body, 0.0)).status == 400
    assert ours.handle(Request("GET", mesh.CANCELLED_PATH, b"", 0.0)).status == 404
    assert not leader.scheduler.state.jobs["req-000001"].cancelled
    body = mesh.encode_cancelled({"req-000001": cluster.clock.wall(), "req-000099": cluster.clock.wall()})
    assert ours.handle(Request("POST", mesh.CANCELLED_PATH, body, 0.0)).status == 200
    assert leader.scheduler.state.jobs["req-000001"].cancelled


def test_a_job_called_off_before_the_leader_has_read_of_it_never_starts():
    cluster = started_cluster(nodes=3)
    name, leader, other = owned(cluster)
    cluster.store.reads_unanswered_for.add(name)
    assert cluster.submit(other, cluster.job(1)) == 201
    assert cluster.cancel(other, "req-000001") == "aborted"
    assert cluster.nodes[other].notices.send()
    cluster.store.reads_unanswered_for.clear()
    run_for(cluster, 5.0, cloud=False)
    assert not running_tasks(cluster) and "req-000001" not in leader.scheduler.state.jobs


def test_a_start_goes_out_only_after_a_read_that_shows_what_others_have_cancelled():
    """The check before a start was a comparison of the leadership record; a cancellation confirmed elsewhere
    in between was no part of it, and the task was started all the same."""
    cluster = started_cluster(machines=1, nodes=3)
    name, leader, other = owned(cluster)
    leader_with_unwritten_placements(cluster, name)
    leader.commit_once()
    assert leader.scheduler.state.jobs["req-000001"].open
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.heartbeat(next(iter(cluster.workers.values())), name)
    assert not running_tasks(cluster)


# -- every other meeting -------------------------------------------------------------------------------------


def calm(cluster: Cluster) -> None:
    """No trouble goes on, and all controllers are there."""
    s = cluster.store
    s.down = False
    for held in (
        s.unavailable_to,
        s.reads_unanswered_for,
        s.unreachable_from,
        s.write_delay_s,
        s.loses_responses_to,
        cluster.network_cuts,
        cluster.mesh_cuts,
        cluster.paused,
    ):
        held.clear()
    cluster.response_delay_s = 0.0
    for worker in cluster.workers.values():
        worker.unresponsive = worker.cannot_send = worker.hung = False
    for name in cluster.names:
        if name not in cluster.nodes:
            cluster.boot(name)


def over(cluster: Cluster, seconds: float = 150.0) -> None:
    """All troubles end. Nobody may be forgotten or left waiting, and all that was accepted ends."""
    calm(cluster)
    since: dict[str, float] = {}
    for failover_delay_s in range(int(seconds)):
        run_for(cluster, 1.0)
        if failover_delay_s == 75:
            for name in cluster.nodes:
                for job_id in sorted(cluster.accepted):
                    assert cluster.query(name, job_id) is not None, f"forgotten: {job_id} on {name}"
        stuck = cluster.stuck()
        since = {job_id: since.get(job_id, cluster.clock.now) for job_id in stuck}
        for job_id, at in since.items():
            assert cluster.clock.now - at < 90.0, f"{job_id} waits for 90 s though it fits"
        for task_id in running_tasks(cluster):
            if cluster.rng.random() < 0.2:
                cluster.finish(task_id)
    for name in cluster.nodes:
        for job_id in sorted(cluster.accepted):
            assert cluster.query(name, job_id) in ("done", "aborted"), f"{job_id} never ended"
    assert not running_tasks(cluster)


def end(cluster: Cluster, name: str) -> None:
    """The process ends."""
    del cluster.nodes[name]


def hand_over(cluster: Cluster) -> str:
    """The leader ends, another takes over, and it is back; who owns then."""
    name, _, _ = owned(cluster)
    end(cluster, name)
    while cluster.leader() is None:
        run_for(cluster, 0.5, cloud=False)
    cluster.boot(name)
    return owned(cluster)[0]


def test_more_work_than_room_over_slow_links_with_cancellations():
    cluster = started_cluster(machines=3, nodes=3)
    cluster.response_delay_s = 1.5
    cluster.cloud.capacity = 0
    for number in range(1, 13):
        cluster.submit(
            "n1", cluster.job(number, parts=4, crew="blue", rank="urgent" if number % 3 == 0 else "normal")
        )
    for number in range(1, 10):
        run_for(cluster, 2.0)
        if number % 2:
            cluster.cancel(f"n{number % 3}", f"req-{number:06d}")
        for task_id in running_tasks(cluster)[:2]:
            cluster.finish(task_id)
    waiting = sum(len(job.waiting) for job in owned(cluster)[1].scheduler.state.jobs.values())
    assert waiting > 4 and len(running_tasks(cluster)) >= 8, "more work than room"
    cluster.submit("n1", cluster.job(20, parts=1, rank="critical"))
    for _ in range(40):
        run_for(cluster, 0.5)
        if any(
            x.response_in_flight and b"req-000020" in x.response_in_flight.response[1]
            for x in cluster.workers.values()
        ):
            break
    assert cluster.cancel("n2", "req-000020") == "aborted"
    run_for(cluster, 2.0)
    assert cluster.late_starts == ["req-000020/0"], "the start met the cancellation on its way"
    over(cluster)


@pytest.mark.parametrize("ends", [False, True])
def test_a_transaction_is_carried_out_and_only_its_answer_is_lost_while_others_read_it(ends):
    cluster = at_work()
    name, leader, other = owned(cluster)
    cluster.store.loses_responses_to.add(name)
    cluster.submit(other, cluster.job(2, parts=1, crew="blue"))
    for _ in range(6):
        run_for(cluster, 1.0, cloud=False)
        cluster.query_everywhere(1, parts=4, guess_s=500.0)
        cluster.query_everywhere(2, parts=1, crew="blue")
    for task_id in running_tasks(cluster):
        cluster.finish(task_id)
    for _ in range(6):
        run_for(cluster, 1.0, cloud=False)
        cluster.query_everywhere(1, parts=4, guess_s=500.0)
        cluster.query_everywhere(2, parts=1, crew="blue")
    assert cluster.query(other, "req-000001") == "done", "others read what it wrote"
    assert cluster.submit(name, cluster.job(3)) == 503, "it can't know"
    assert cluster.submit(other, cluster.job(3)) == 200, "known to all, since it was carried out"
    assert cluster.query_everywhere(3)[0] == "pending"
    assert cluster.nodes[name].cancel("req-000003")[0] == 503
    assert set(cluster.query_everywhere(3)) == {"aborted"}
    if ends:
        end(cluster, name)
    over(cluster)


def test_a_heartbeat_held_back_until_a_new_leader_has_acted_changes_nothing():
    cluster = at_work(machines=2)
    old, _, _ = owned(cluster)
    held = [worker.heartbeat() for worker in cluster.workers.values()]  # all four tasks run
    for task_id in running_tasks(cluster)[:2]:
        cluster.finish(task_id)
    cluster.cancel(old, "req-000001")
    end(cluster, old)
    run_for(cluster, 8.0, cloud=False)
    new, leader, _ = owned(cluster)
    assert new != old and not running_tasks(cluster)
    cluster.submit(new, cluster.job(2, parts=8))
    run_for(cluster, 2.0, cloud=False)
    before = running_tasks(cluster)
    for heartbeat in held:
        cluster.replay(heartbeat, new)
    run_for(cluster, 4.0, cloud=False)
    assert running_tasks(cluster) == before and len(before) == 8
    over(cluster)


def test_an_old_heartbeat_reaches_every_controller_just_as_a_new_leader_begins():
    """The first word it hears of a machine is minutes old: it gives no work for it and closes nothing."""
    cluster = at_work(machines=2)
    old, _, _ = owned(cluster)
    idle = [r for r in cluster.sent_heartbeats if not r.tasks]
    assert len({r.machine for r in idle}) == 2, "from before the tasks began"
    end(cluster, old)
    cluster.pass_time(5.0)
    for name in list(cluster.nodes):
        cluster.step_controller(name)
        for heartbeat in idle:
            cluster.replay(heartbeat, name)
    new, leader, _ = owned(cluster)
    assert len(leader.scheduler.state.jobs["req-000001"].open) == 4, "the records' placements stand"
    cluster.submit(new, cluster.job(2, crew="blue", parts=8))
    for _ in range(3):
        cluster.step_controller(new)
    assert not leader.scheduler.state.jobs["req-000002"].open, "who has not said our token gets no work"
    for _ in range(6):
        run_for(cluster, 0.5, cloud=False)
        for heartbeat in idle:
            cluster.replay(heartbeat, new)
    assert len(running_tasks(cluster)) == 8
    over(cluster)


def test_jobs_of_few_tasks_that_end_far_apart_across_a_change_of_leader():
    cluster = started_cluster(machines=3, nodes=3)
    for number in (1, 2, 3):
        cluster.submit("n0", cluster.job(number, parts=number, crew="blue"))
    run_for(cluster, 3.0, cloud=False)
    for number in (1, 2, 3):
        cluster.finish(f"req-{number:06d}/0")
    run_for(cluster, 0.5, cloud=False)
    before = owned(cluster)[0]
    end(cluster, before)
    run_for(cluster, 8.0, cloud=False)
    assert owned(cluster)[0] != before
    assert [set(cluster.query_everywhere(n, parts=n, crew="blue")) for n in (1, 2, 3)] == [
        {"done"},
        {"running"},
        {"running"},
    ]
    cluster.finish("req-000002/1")
    cluster.finish("req-000003/1")
    run_for(cluster, 3.0, cloud=False)
    assert [cluster.query("n2", f"req-{n:06d}") for n in (2, 3)] == ["done", "running"]
    over(cluster)


def test_mute_workers_with_cancelled_tasks_are_told_directly_and_replaced():
    cluster = at_work(parts=8)
    mute = holder(cluster)
    mute.cannot_send = True
    cluster.cancel("n1", "req-000001")
    run_for(cluster, 1.0)
    assert not mute.running(), "a direct command reached it"
    assert cluster.submit("n0", cluster.job(2, parts=8, guess_s=500.0)) == 201
    run_for(cluster, 30.0)
    assert mute.name in cluster.cloud.deleted
    assert len(running_tasks(cluster)) == 8
    over(cluster)


def test_jobs_bound_to_one_zone_lose_machines_and_come_back_there():
    cluster = two_zones()
    cluster.submit("n0", cluster.job(1, parts=4, yard="south", guess_s=500.0))
    cluster.submit("n0", cluster.job(2, parts=6, crew="blue", together=True, guess_s=500.0))
    cluster.submit("n0", cluster.job(3, parts=4, crew="blue", apart=True, guess_s=500.0))
    run_for(cluster, 4.0, cloud=False)
    assert len(running_tasks(cluster)) == 14
    for name in [n for n, worker in cluster.workers.items() if worker.zone == "south"]:
        del cluster.workers[name]
    end(cluster, owned(cluster)[0])
    run_for(cluster, 90.0)  # wrong_place is watched at each start
    assert len(running_tasks(cluster)) == 14
    over(cluster)


@pytest.mark.parametrize("gap_s", [0.0, 0.5, 4.0])
def test_controllers_hand_over_and_back_all_end_and_one_returns(gap_s):
    cluster = at_work(parts=8)
    leaders = [hand_over(cluster) for _ in range(4)]
    assert len(set(leaders)) > 1
    names = list(cluster.nodes)
    for name in names:
        end(cluster, name)
    cluster.pass_time(gap_s)
    cluster.boot("n1")
    run_for(cluster, 6.0, cloud=False)
    assert list(cluster.nodes) == ["n1"] and cluster.leader() == "n1"
    assert len(running_tasks(cluster)) == 8, "within a lease all goes on"
    over(cluster)


def test_users_ask_and_cancel_while_the_state_service_refuses_the_leader_and_then_everybody():
    cluster = at_work(parts=4, machines=3)
    name, leader, other = owned(cluster)
    cluster.submit(other, cluster.job(2, parts=4, crew="blue"))
    run_for(cluster, 2.0, cloud=False)
    cluster.finish("req-000002/0")
    cluster.store.unavailable_to.add(name)
    assert cluster.nodes[name].query("req-000001")[0] == 503
    assert cluster.nodes[name].cancel("req-000001")[0] == 503, "not certain: never 200"
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.store.down = True
    for _ in range(int(cluster.cancel_s + 8.0)):
        run_for(cluster, 1.0)
        for node in cluster.nodes:
            assert cluster.query(node, "req-000002") is None
            assert cluster.query(node, "req-000001") in (None, "aborted")
    assert not running_tasks(cluster), (
        "no view is fresh enough: all leases have run out, and the cancelled are halted"
    )
    over(cluster)


def test_leaders_change_ten_times_in_two_minutes_also_inside_an_outage():
    cluster = at_work(parts=8)
    cluster.submit("n1", cluster.job(2, parts=8, crew="blue"))
    tokens = set()
    for failover_delay_s in range(10):
        tokens.add(owned(cluster)[1].membership.record.fencing_token)
        cluster.store.down = failover_delay_s == 4
        cluster.boot(owned(cluster)[0])
        if cluster.store.down:
            run_for(cluster, 3.0)
            assert cluster.leader() is None, "nobody can become owner"
            cluster.store.down = False
        cluster.cancel("n2", "req-000001") if failover_delay_s == 6 else cluster.query_everywhere(
            1, parts=8, guess_s=500.0
        )
        for _ in range(24):
            run_for(cluster, 0.5)
            if cluster.leader() is not None:
                break
    assert len(tokens) >= 9
    over(cluster)


@pytest.mark.parametrize("late_s", [2.0, 12.0])
def test_transactions_without_an_answer_come_late_after_newer_ones_of_the_same_controller(late_s):
    cluster = at_work(parts=4, machines=3)
    name, leader, other = owned(cluster)
    cluster.submit(other, cluster.job(2, parts=4, crew="blue"))
    run_for(cluster, 2.0, cloud=False)
    for number, (task_id, again) in enumerate([("req-000001/0", True), ("req-000002/1", False)], 3):
        cluster.store.write_delay_s[name] = cluster.store.write_delay_s[other] = late_s
        cluster.finish(task_id)
        assert cluster.submit(other, cluster.job(number, crew="blue", parts=1)) == 503
        if again:
            assert cluster.nodes[other].cancel("req-000002")[0] == 503
        run_for(cluster, 1.0, cloud=False)
        cluster.store.write_delay_s.clear()
        assert cluster.submit(other, cluster.job(number, crew="blue", parts=1)) == 201, "the newer one"
        run_for(cluster, late_s + 1.0, cloud=False)
        cluster.query_everywhere(number, crew="blue", parts=1)
        cluster.query_everywhere(2, parts=4, crew="blue")
        cluster.query_everywhere(1, parts=4, guess_s=500.0)
    assert not cluster.store.late_writes and len(cluster.store.delayed_writes) == 0
    over(cluster)


@pytest.mark.parametrize("trouble", ["cut", "unresponsive", "hung"])
def test_a_leader_ends_while_machines_with_long_tasks_can_not_be_reached_or_do_not_hear(trouble):
    cluster = at_work(parts=8)
    stranded = holder(cluster)
    parts = stranded.running()
    if trouble == "cut":
        cluster.network_cuts |= {(stranded.name, node) for node in cluster.names}
    setattr(stranded, "unresponsive" if trouble == "unresponsive" else "hung", trouble != "cut")
    end(cluster, owned(cluster)[0])
    run_for(cluster, 60.0)  # ran_twice is watched at each start
    assert stranded.name in cluster.cloud.deleted
    assert set(parts) <= set(running_tasks(cluster)), "they run elsewhere"
    over(cluster)


def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends():
    cluster = at_work(parts=2, machines=1)
    name, leader, other = owned(cluster)
    cluster.submit(other, cluster.job(2, parts=12, crew="blue", guess_s=500.0))
    cluster.store.write_delay_s[name] = 6.0
    cluster.step_controller(name)
    cluster.cloud_step(name)
    assert len(cluster.workers) > 1, "rented, and up at once"
    for _ in range(4):
        run_for(cluster, 0.5)
    assert cluster.store.late_writes and not [
        p for p in running_tasks(cluster) if p.startswith("req-000002")
    ], "not durable, not begun"
    end(cluster, name)
    run_for(cluster, 12.0)
    assert owned(cluster)[0] != name
    assert len([p for p in running_tasks(cluster) if p.startswith("req-000002")]) == 12
    over(cluster)


def test_users_look_at_all_nodes_within_an_instant_of_each_answer():
    cluster = started_cluster(machines=2, nodes=3)
    for number in range(1, 7):
        node = f"n{number % 3}"
        cluster.submit(node, cluster.job(number, parts=1))
        assert None not in cluster.query_everywhere(number, parts=1)
        if number % 3 == 0:
            assert cluster.cancel(f"n{(number + 1) % 3}", f"req-{number:06d}") == "aborted"
            assert set(cluster.query_everywhere(number, parts=1)) == {"aborted"}
            continue
        run_for(cluster, 2.0, cloud=False)
        cluster.finish(f"req-{number:06d}/0")
        while "done" not in cluster.query_everywhere(number, parts=1):
            cluster.step(0.01)
        assert set(cluster.query_everywhere(number, parts=1)) == {"done"}
        assert cluster.cancel(node, f"req-{number:06d}") == "done"
    over(cluster)


def test_one_task_jobs_come_four_a_second_for_minutes_a_quarter_cancelled():
    cluster = started_cluster(machines=4, nodes=3, writes=20.0)
    submitted, cancelled = 0, 0
    for _ in range(240):
        for _ in range(2):
            submitted += 1
            number = submitted
            assert (
                cluster.submit(f"n{number % 3}", cluster.job(number, parts=1, crew="blue", guess_s=1.0))
                == 201
            )
            if number % 4 == 0:
                cancelled += cluster.cancel(f"n{(number + 1) % 3}", f"req-{number - 3:06d}") == "aborted"
        run_for(cluster, 0.5)
        for task_id in running_tasks(cluster):
            if cluster.rng.random() < 0.4:
                cluster.finish(task_id)
    assert submitted == 480 and cancelled > 60
    over(cluster, 100.0)
    assert sum(job_id not in cluster.cancelled for job_id in cluster.accepted) == submitted - cancelled
    assert sum(key.startswith("b/log/") for key in cluster.store.rows) < 60, (
        "the log does not grow with the jobs"
    )


@pytest.mark.parametrize("what", ["cancel", "question", "repeat"])
@pytest.mark.parametrize("moment", ["ended", "reported", "writing", "written"])
def test_a_cancellation_a_question_or_a_repeat_meets_the_end_of_the_last_task(what, moment):
    cluster = at_work(parts=1, machines=1)
    name, leader, other = owned(cluster)
    cluster.finish("req-000001/0")
    batch = None
    if moment != "ended":
        cluster.heartbeat(holder_of_ended(cluster), name)
    if moment in ("writing", "written"):
        batch = leader.scheduler.take_batch(12)
        assert batch is not None and batch.over == ["req-000001"]
    if moment == "written":
        leader._write(batch)
    told = set(cluster.query_everywhere(1, parts=1, guess_s=500.0))
    if what == "cancel":
        assert cluster.cancel(other, "req-000001") == ("done" if moment == "written" else "aborted")
    if moment == "writing":
        leader._write(batch)
    assert told == ({"done"} if moment == "written" else {"running"})
    run_for(cluster, 3.0, cloud=False)
    expected = "aborted" if what == "cancel" and moment != "written" else "done"
    assert set(cluster.query_everywhere(1, parts=1, guess_s=500.0)) == {expected}
    over(cluster)


def holder_of_ended(cluster: Cluster) -> FakeWorker:
    return next(worker for worker in cluster.workers.values() if worker.tasks)


def test_jobs_are_cancelled_through_the_new_leader_while_the_old_one_serves_workers_and_users():
    cluster = at_work(parts=8, machines=2)
    old, deposed, _ = owned(cluster)
    cluster.store.unreachable_from.add(old)
    cluster.mesh_cuts.add(old)
    run_for(cluster, 3.5, cloud=False)  # its membership ends
    for _ in range(12):
        for name in list(cluster.nodes):
            if name != old:
                cluster.step_controller(name)
        cluster.pass_time(0.2)
    new = next(n for n in cluster.nodes if n != old and cluster.nodes[n].scheduler.leader)
    assert deposed.scheduler.leader, "the old one can't know"
    assert cluster.cancel(new, "req-000001") == "aborted"
    assert deposed.query("req-000001")[0] == 503
    run_for(cluster, cluster.cancel_s)
    assert not running_tasks(cluster)
    over(cluster)


def test_jobs_are_cancelled_in_the_seconds_in_which_the_work_changes_hands(monkeypatch):
    """Before the new leader's last read, between that and its adoption, and right after."""
    cluster = at_work(parts=3)
    old, _, other = owned(cluster)
    cluster.submit(other, cluster.job(2, parts=3, crew="blue", guess_s=500.0))
    cluster.submit(other, cluster.job(3, parts=2, crew="blue", guess_s=500.0))
    run_for(cluster, 2.0, cloud=False)
    assert len(running_tasks(cluster)) == 8
    end(cluster, old)
    cluster.pass_time(4.0)
    third = next(n for n in cluster.nodes if n != other)
    assert cluster.cancel(third, "req-000001") == "aborted"
    node = cluster.nodes[other]
    recover = node.scheduler.recover
    seen = []

    def amid(recovered):
        recover(recovered)
        seen.append(cluster.cancel(third, "req-000002"))

    monkeypatch.setattr(node.scheduler, "recover", amid)
    for _ in range(10):
        cluster.step_controller(other)
        cluster.pass_time(0.2)
    assert seen == ["aborted"] and node.scheduler.leader
    assert cluster.cancel(third, "req-000003") == "aborted"
    run_for(cluster, 6.0, cloud=False)
    assert not running_tasks(cluster)
    over(cluster)


def test_old_heartbeats_of_earlier_epochs_and_attempts_arrive_after_newer_ones():
    cluster = at_work(parts=4, machines=2)
    name, leader, _ = owned(cluster)
    early = list(cluster.sent_heartbeats)
    worker = holder(cluster)
    worker.last_answered_at = 0.0  # its lease has run out
    run_for(cluster, 3.0)
    assert worker.epoch == 2 and len(running_tasks(cluster)) == 4
    attempts = sorted(a.number for x in cluster.workers.values() for a in x.tasks.values())
    assert max(attempts) > 4, "begun again under later attempts"
    for heartbeat in early:
        for node in cluster.names:
            cluster.replay(heartbeat, node)
    run_for(cluster, 5.0)
    assert sorted(a.number for x in cluster.workers.values() for a in x.tasks.values()) == attempts
    assert cluster.cloud.deleted == []
    over(cluster)


def test_a_command_and_its_answer_are_held_up_and_the_machine_then_goes_on():
    cluster = at_work(parts=2, machines=1)
    name, leader, _ = owned(cluster)
    worker = holder(cluster)
    task_id = worker.running()[0]
    attempt = next(a.number for a in worker.tasks.values() if a.task_id == task_id)
    late = workers.encode_stop_commands(
        leader.membership.record.fencing_token, worker.epoch, [workers.Stop(task_id, attempt, 0.0)]
    )
    worker.hung = True
    run_for(cluster, 4.0, cloud=False)
    worker.hung = False
    run_for(cluster, 2.0, cloud=False)
    cluster.finish(task_id)
    run_for(cluster, 2.0, cloud=False)
    body = cluster.command(name, f"{worker.name}:9", late)  # executed only now
    assert body is not None
    run_for(cluster, 2.0, cloud=False)
    assert len(running_tasks(cluster)) == 1, "it names an attempt that is over, and stops nothing else"
    over(cluster)


def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease():
    cluster = two_zones()
    cluster.submit("n0", cluster.job(1, parts=8, crew="blue", guess_s=500.0))
    cluster.submit("n0", cluster.job(2, parts=4, guess_s=500.0))
    run_for(cluster, 4.0, cloud=False)
    assert len(running_tasks(cluster)) == 12
    south = [x for x in cluster.workers.values() if x.zone == "south"]
    north = [x for x in cluster.workers.values() if x.zone == "north"]
    for worker in south:
        worker.reports_to = "n1"
    cluster.network_cuts |= {(x.name, node) for x in south for node in ("n0", "n2")}
    cluster.network_cuts |= {(x.name, "n1") for x in north}
    cluster.store.unreachable_from.add("n1")
    cluster.mesh_cuts.add("n1")
    cluster.cancel("n2", "req-000002")
    run_for(cluster, cluster.lease_s + 10.0)
    run_for(cluster, 40.0)
    assert not [p for p in running_tasks(cluster) if p.startswith("req-000002")]
    assert len(running_tasks(cluster)) == 8
    over(cluster)


@pytest.mark.parametrize("trouble", ["cut", "hung"])
def test_every_team_is_at_its_limit_while_jobs_are_cancelled_on_stranded_machines_and_the_leader_changes(
    trouble,
):
    cluster = started_cluster(machines=6, nodes=3)
    cluster.submit("n0", cluster.job(1, parts=8, guess_s=500.0))
    cluster.submit("n0", cluster.job(2, parts=16, crew="blue", guess_s=500.0))
    cluster.submit("n0", cluster.job(3, parts=8, guess_s=500.0))
    cluster.submit("n0", cluster.job(4, parts=16, crew="blue", guess_s=500.0))
    run_for(cluster, 5.0, cloud=False)
    assert len(running_tasks(cluster)) == 24, "both teams are at their limits, and more waits"
    stranded = [x for x in cluster.workers.values() if x.running()][:2]
    for worker in stranded:
        if trouble == "cut":
            cluster.network_cuts |= {(worker.name, node) for node in cluster.names}
        else:
            worker.hung = True
    cluster.cancel("n1", "req-000001")
    cluster.cancel("n2", "req-000002")
    end(cluster, owned(cluster)[0])
    left = len([p for x in stranded for p in x.running()])
    assert left > 0
    run_for(cluster, 14.0)  # quota is watched
    run_for(cluster, cluster.cancel_s)
    assert not [p for p in running_tasks(cluster) if p[:10] in ("req-000001", "req-000002")]
    assert len(running_tasks(cluster)) == 24, "what waited has taken the room"
    over(cluster)


def test_all_controllers_are_away_for_longer_than_a_lease():
    cluster = at_work(parts=8)
    cluster.submit("n0", cluster.job(2, parts=2, crew="blue", guess_s=500.0))
    run_for(cluster, 3.0)
    cluster.cancel("n0", "req-000002")
    for name in list(cluster.nodes):
        end(cluster, name)
    for _ in range(int(cluster.lease_s + 4.0)):
        cluster.pass_time(1.0)
        for worker in cluster.workers.values():
            worker.check_lease()
    assert not running_tasks(cluster), "all leases have run out"
    for name in cluster.names:
        cluster.boot(name)
    run_for(cluster, 10.0)
    assert len(running_tasks(cluster)) == 8 and cluster.cloud.deleted == []
    over(cluster)


NEVER = ({"cpus": 64.0}, {"crew": "nobody"}, {"builds": ["none"]}, {"parts": 3, "shape": "gang", "cpus": 4.0})


def test_odd_requests_get_their_answers_and_are_not_accepted():
    cluster = at_work(parts=1, machines=1)
    cluster.finish("req-000001/0")
    run_for(cluster, 3.0, cloud=False)
    assert set(cluster.query_everywhere(1, parts=1, guess_s=500.0)) == {"done"}
    assert cluster.cancel("n2", "req-000001") == "done"
    whole = orjson.loads(cluster.job(2))
    for name in list(cluster.nodes):
        for fields in NEVER:
            assert cluster.submit(name, cluster.job(2, **fields)) == 422, fields
        for field in ("lane", "crew", "shape", "rank", "parts", "cpus", "mem_gb", "together", "guess_s"):
            assert (
                cluster.submit(name, orjson.dumps({k: v for k, v in whole.items() if k != field})) == 400
            ), field
        assert cluster.nodes[name].query("req-000002")[0] == 404
    assert cluster.accepted == {"req-000001"}
    over(cluster, 100.0)


# -- two or three troubles at a time, drawn by a seed --------------------------------------------------------


def draw(cluster: Cluster, trouble: str) -> None:  # noqa: C901 (a list of troubles, one after the other)
    """One trouble begins."""
    rng = cluster.rng
    names = sorted(cluster.nodes)
    node = rng.choice(names)
    leader = cluster.leader() or node
    some = rng.sample(sorted(cluster.workers), min(2, len(cluster.workers)))
    if trouble == "refused":
        cluster.store.unavailable_to.add(leader)
    elif trouble == "outage":
        cluster.store.down = True
    elif trouble == "gap":
        cluster.store.unavailable_to.add(leader)
        run_for(cluster, rng.choice([0.5, 1.5, 2.5]))
        for job_id in sorted(cluster.accepted)[-3:]:
            cluster.cancel(rng.choice([n for n in names if n != leader] or names), job_id)
        cluster.store.down = True
    elif trouble == "unanswered":
        cluster.store.loses_responses_to.add(rng.choice([leader, node]))
    elif trouble == "lagging":
        cluster.store.write_delay_s[rng.choice([leader, node])] = rng.uniform(2.0, 12.0)
    elif trouble == "blind":
        cluster.store.reads_unanswered_for.add(leader)
    elif trouble == "isolated":
        cluster.store.unreachable_from.add(leader)
        cluster.mesh_cuts.add(leader)
    elif trouble == "peers":
        cluster.mesh_cuts.add(node)
    elif trouble == "ends":
        end(cluster, leader)
        if rng.random() < 0.5 or not cluster.nodes:
            cluster.boot(leader)  # back within an instant
    elif trouble == "all end":
        for name in names:
            end(cluster, name)
        cluster.pass_time(rng.choice([0.0, 1.0, 16.0]))
        cluster.boot(node)
    elif trouble == "frozen":
        cluster.paused.add(leader)
    elif trouble == "cut":
        cluster.network_cuts |= {
            (name, other) for name in some for other in (cluster.names if rng.random() < 0.5 else [leader])
        }
    elif trouble == "copies":
        for heartbeat in rng.sample(cluster.sent_heartbeats, min(20, len(cluster.sent_heartbeats))):
            cluster.replay(heartbeat, rng.choice(sorted(cluster.nodes)))
    elif trouble == "slow":
        cluster.response_delay_s = rng.uniform(0.5, 3.5)
    else:
        for name in some:
            setattr(cluster.workers[name], trouble, True)


TROUBLES = (
    "refused",
    "outage",
    "gap",
    "unanswered",
    "lagging",
    "blind",
    "isolated",
    "peers",
    "ends",
    "all end",
    "frozen",
    "cut",
    "copies",
    "slow",
    "unresponsive",
    "cannot_send",
    "hung",
)


RESTLESS = Policy(  # moves whatever it may, as soon as it may
    hold_s=0.0,
    hold_idle_s=0.0,
    spread=True,
    spread_rest_s=1.0,
    spread_every_s=0.5,
    spread_threshold=1.0,
    spread_restarts_default=2,
    spread_lossy=("sweep",),
    extra_classes=("sweep",),
    balance_share=1.0,
)


@pytest.mark.parametrize(
    ("seed", "policy"), [(s, None) for s in range(24)] + [(s, RESTLESS) for s in range(24, 24 + 12)]
)
def test_troubles_meet_at_random(seed, policy):
    cluster = Cluster(3, seed=seed, policy=policy)
    for n in range(5):
        cluster.machine(zone="north" if n % 2 else "south", spot=n % 3 > 0)
    run_for(cluster, 2.0)
    rng = cluster.rng
    number = 0
    fields: dict[int, dict] = {}
    for _ in range(4):
        troubles = rng.sample(TROUBLES, rng.choice([2, 3]))
        for failover_delay_s in range(24):
            if failover_delay_s in (4, 8, 12) and troubles:
                draw(cluster, troubles.pop())
            for _ in range(rng.choice([0, 0, 1, 2])):
                number += 1
                fields[number] = {
                    "parts": rng.choice([1, 1, 2, 3, 8]),
                    "crew": rng.choice(["red", "blue"]),
                    "rank": rng.choice(["idle", "normal", "urgent"]),
                    "guess_s": rng.choice([5.0, 500.0]),
                    "yard": rng.choice([None, None, "south"]),
                    "together": rng.random() < 0.1,
                }
                cluster.submit(rng.choice(sorted(cluster.nodes)), cluster.job(number, **fields[number]))
            known = sorted(cluster.accepted)
            if known and rng.random() < 0.4:
                cluster.cancel(rng.choice(sorted(cluster.nodes)), rng.choice(known))
            if known and rng.random() < 0.4:
                asked = int(rng.choice(known)[4:])
                cluster.query_everywhere(asked, **fields[asked])
            for task_id in running_tasks(cluster):
                if rng.random() < 0.05:
                    cluster.finish(task_id)
            run_for(cluster, rng.choice([0.5, 1.0, 2.0]))
        calm(cluster)
    over(cluster, 200.0)


def test_a_read_vouches_for_nothing_that_nobody_was_told_of_yet():
    """One thread has taken a cancellation in and is about to tell the scheduler; the read of a second one
    finds it there already, and must not count before the first one is through."""
    cluster = started_cluster(machines=1, nodes=2)
    name, leader, other = owned(cluster)
    cluster.submit(name, cluster.job(1))
    leader.watch_cache.pull(0.0)
    assert cluster.cancel(other, "req-000001") == "aborted"
    telling, go_on = threading.Event(), threading.Event()
    reconcile_job = leader.scheduler.reconcile_job

    def slowly(record, version):
        telling.set()
        assert go_on.wait(30.0)
        reconcile_job(record, version)

    leader.scheduler.reconcile_job = slowly
    first = threading.Thread(target=leader.watch_cache.pull, args=(0.0,))
    first.start()
    assert telling.wait(30.0)
    before = leader.watch_cache.as_of
    cluster.clock.now += 1.0
    second = threading.Thread(target=leader.watch_cache.pull, args=(0.0,))
    second.start()
    second.join(0.3)  # unmended it is through by then; mended it never is
    assert leader.watch_cache.as_of == before and not leader.scheduler.state.jobs["req-000001"].cancelled
    go_on.set()
    for thread in (first, second):
        thread.join()
    assert leader.watch_cache.as_of > before and leader.scheduler.state.jobs["req-000001"].cancelled
