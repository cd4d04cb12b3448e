"""Where two troubles meet: a story for each meeting that the operators have named (docs/meetings.md).

Each story brings its meeting about, asserts that it did come about, and leaves the rules to the world's
watch: it checks them at every start, at every answer to a user and at every step.
"""

import threading

import orjson
import pytest
from test_stories import decided, quiet, running, wait
from world import Worker, World

from bayford.coordination.controller import Controller
from bayford.protocol import mesh, workers
from bayford.scheduling.policy import Policy
from bayford.transport.http_handlers import PeerHandler
from bayford.transport.http_server import Request


def owned(w: World) -> tuple[str, Controller, str]:
    """The leader's name, the leader, and another controller."""
    name = w.leader()
    assert name is not None
    return name, w.nodes[name], next(n for n in w.nodes if n != name)


def at_work(parts: int = 4, machines: int = 2, nodes: int = 3, **world_fields) -> World:
    """A world in which job 1 runs and has long to go; workers have settled at the leader."""
    w = quiet(machines=machines, nodes=nodes, **world_fields)
    w.submit("n0", w.job(1, parts=parts, guess_s=500.0))
    wait(w, 4.0, fleet=False)
    assert len(running(w)) == parts
    return w


def two_zones() -> World:
    """A world with two machines in each zone."""
    w = World(3)
    for zone in ("north", "south", "north", "south"):
        w.machine(zone=zone)
    wait(w, 2.0, fleet=False)
    return w


def holder(w: World) -> Worker:
    return next(worker for worker in w.workers.values() if worker.running())


# -- the gap: the leader alone is refused, another confirms cancellations, then the service is down for all --


@pytest.mark.parametrize("news", [True, False])
@pytest.mark.parametrize("refused_s", [0.5, 1.5, 2.4])
def test_in_the_gap_cancelled_tasks_are_gone_in_time(refused_s, news):
    """With news over the mesh they are stopped at once; without, the bound on old views sees to it."""
    w = at_work()
    name, leader, other = owned(w)
    if not news:
        w.mesh_cut.add(name)
    w.state.refuses.add(name)
    wait(w, refused_s, fleet=False)
    assert w.cancel(other, "req-000001") == "aborted"
    w.nodes[other].notices.send()
    w.state.down = True
    assert not leader.watch_cache.is_cancelled("req-000001"), "the owner has not read it"
    wait(w, 2.0)
    told = w.clock.now
    if news:
        wait(w, 3.0)
        assert not running(w), "halted on the other controller's word"
    wait(w, w.cancel_s + 5.0)  # the world watches the bound
    assert w.clock.now - told > w.cancel_s and not running(w)
    assert w.leader() == name, "nobody has taken over: the service was down for all"
    w.state.refuses.clear()
    w.state.down = False
    w.mesh_cut.clear()
    wait(w, 10.0)
    assert {w.query(n, "req-000001") for n in w.nodes} == {"aborted"}


def test_an_leader_whose_reads_fail_does_not_take_its_writes_for_a_view_of_the_cancellations():
    """Its commits and comparisons of the leadership record held, while it learned of nothing that others had
    confirmed."""
    w = at_work(machines=4)
    name, leader, other = owned(w)
    w.submit(name, w.job(2, crew="blue", parts=12, guess_s=500.0))
    wait(w, 3.0, fleet=False)
    w.mesh_cut.add(name)
    w.state.blind.add(name)
    wait(w, 1.0, fleet=False)
    assert w.cancel(other, "req-000001") == "aborted"
    before = w.state.epoch
    for task in range(12):  # it writes all the time
        w.finish(f"req-000002/{task}")
        wait(w, 1.5, fleet=False)
    assert leader.scheduler.leader and w.state.epoch - before > 10
    assert not leader.watch_cache.is_cancelled("req-000001")
    w.state.down = True
    wait(w, w.cancel_s, fleet=False)
    assert not [p for p in running(w) if p.startswith("req-000001/")]


@pytest.mark.parametrize("mixed", [False, True])
def test_in_the_gap_a_machine_that_hangs_with_cancelled_tasks_is_deleted_in_time(mixed):
    """Nobody can be sure to be the leader, and a machine that hangs heeds no lease. It goes, and it alone; if
    it holds other work too, only when there is just the time for it left."""
    w = at_work(parts=2 if mixed else 8, cancel_s=30.0)
    name, leader, other = owned(w)
    assert leader.scheduler.staleness_limit() < 0.5 * w.cancel_s, "no longer sure when it has to act"
    if mixed:
        w.submit(name, w.job(2, crew="blue", parts=6, guess_s=500.0))
        wait(w, 3.0, fleet=False)
    hung = holder(w)
    assert {p.split("/")[0] for p in hung.running()} >= {"req-000001"}
    hung.hung = True
    w.state.refuses.add(name)
    wait(w, 1.0)
    assert w.cancel(other, "req-000001") == "aborted"
    w.state.down = True
    wait(w, 0.6 * w.cancel_s)
    assert w.deleted == ([] if mixed else [hung.name])
    wait(w, 0.4 * w.cancel_s + 2.0)
    assert w.deleted == [hung.name]


def test_an_outage_with_nothing_cancelled_costs_no_machine_though_some_hang():
    w = at_work(parts=8)
    w.state.down = True
    wait(w, 15.0)
    holder(w).hung = True  # not silent for long enough yet when the leader stops judging
    wait(w, w.cancel_s)
    assert w.deleted == []


def test_an_leader_that_is_refused_alone_deletes_nothing_unverified():
    """Another is served, so it is that one's to judge: it has taken over, or is about to."""
    w = at_work(parts=8)
    name, leader, other = owned(w)
    w.state.refuses.add(name)
    assert w.cancel(other, "req-000001") == "aborted"
    w.nodes[other].notices.send()
    assert leader.scheduler.state.jobs["req-000001"].cancelled
    assert not leader.verifier.no_competing_leader()
    w.state.down = True
    wait(w, 8.0, fleet=False)  # by then no other says any more that it is served
    assert leader.verifier.no_competing_leader()
    leader.peers.served_at[other] = w.clock.now
    assert not leader.verifier.no_competing_leader(), "another is served"
    leader.peers.served_at.clear()
    leader.membership.observe_token(leader.membership.record.fencing_token + 1)
    assert not leader.verifier.no_competing_leader(), "somebody has seen a higher token"


def test_a_relay_stops_what_it_knows_as_cancelled_without_a_fresh_view():
    w = at_work(machines=1)
    name, _, other = owned(w)
    worker = holder(w)
    w.cut.add((worker.name, name))
    wait(w, 6.0, fleet=False)
    relay = worker.at
    assert relay != name and running(w)
    confirming = next(n for n in w.nodes if n not in (name, relay))
    w.state.refuses.add(relay)
    assert w.cancel(confirming, "req-000001") == "aborted"
    w.state.down = True
    w.nodes[relay].on_cancellations({"req-000001": w.clock.wall()})
    w.heartbeat(worker, relay)
    assert not running(w)


def test_direct_stops_of_cancelled_jobs_go_out_on_any_view_and_others_do_not():
    w = at_work(parts=2, machines=1)
    name, leader, other = owned(w)
    worker = holder(w)
    worker.mute = True
    w.state.refuses.add(name)
    wait(w, 0.5, fleet=False)
    assert w.cancel(other, "req-000001") == "aborted"
    w.state.down = True
    w.pass_time(leader.scheduler.staleness_limit() + 1.0)
    assert not leader.verifier.is_verified_leader()
    assert w.nodes[other].notices.send()
    w.step_node(name)
    assert not running(w), "halted by a direct command"


def test_a_cancellation_is_told_to_the_leader_until_it_hears_and_not_for_ever():
    w = at_work()
    name, leader, other = owned(w)
    w.mesh_cut.add(name)
    w.state.refuses.add(name)
    assert w.cancel(other, "req-000001") == "aborted"
    assert not w.nodes[other].notices.send()
    w.mesh_cut.clear()
    assert w.nodes[other].notices.send() and leader.scheduler.state.jobs["req-000001"].cancelled
    w.mesh_cut.add(name)
    w.submit(other, w.job(2))
    assert w.cancel(other, "req-000002") == "aborted"
    assert not w.nodes[other].notices.send()
    w.pass_time(w.cancel_s)
    assert w.nodes[other].notices.send(), "too late to be of use to anybody"


def test_news_of_cancellations_over_the_mesh_are_checked_and_unknown_to_older_releases():
    w = quiet(nodes=2)
    name, leader, other = owned(w)
    w.submit(name, w.job(1))
    wait(w, 2.0, fleet=False)
    ours = PeerHandler(leader)
    for body in (b"{", b"[]", b'{"req-000001":"now"}', b'{"req-000001":null}'):
        assert ours.handle(Request("POST", mesh.CANCELLED_PATH, body, 0.0)).status == 400
    assert ours.handle(Request("GET", mesh.CANCELLED_PATH, b"", 0.0)).status == 404
    assert not leader.scheduler.state.jobs["req-000001"].cancelled
    body = mesh.encode_cancelled({"req-000001": w.clock.wall(), "req-000099": w.clock.wall()})
    assert ours.handle(Request("POST", mesh.CANCELLED_PATH, body, 0.0)).status == 200
    assert leader.scheduler.state.jobs["req-000001"].cancelled


def test_a_job_called_off_before_the_leader_has_read_of_it_never_starts():
    w = quiet(nodes=3)
    name, leader, other = owned(w)
    w.state.blind.add(name)
    assert w.submit(other, w.job(1)) == 201
    assert w.cancel(other, "req-000001") == "aborted"
    assert w.nodes[other].notices.send()
    w.state.blind.clear()
    wait(w, 5.0, fleet=False)
    assert not running(w) and "req-000001" not in leader.scheduler.state.jobs


def test_a_start_goes_out_only_after_a_read_that_shows_what_others_have_cancelled():
    """The check before a start was a comparison of the leadership record; a cancellation confirmed elsewhere
    in between was no part of it, and the task was started all the same."""
    w = quiet(machines=1, nodes=3)
    name, leader, other = owned(w)
    decided(w, name)
    leader.commit_loop.commit_once()
    assert leader.scheduler.state.jobs["req-000001"].open
    assert w.cancel(other, "req-000001") == "aborted"
    w.heartbeat(next(iter(w.workers.values())), name)
    assert not running(w)


# -- every other meeting -------------------------------------------------------------------------------------


def calm(w: World) -> None:
    """No trouble goes on, and all controllers are there."""
    s = w.state
    s.down = False
    for held in (s.refuses, s.blind, s.lost, s.lagging, s.unanswered, w.cut, w.mesh_cut, w.frozen):
        held.clear()
    w.slow_s = 0.0
    for worker in w.workers.values():
        worker.deaf = worker.mute = worker.hung = False
    for name in w.names:
        if name not in w.nodes:
            w.boot(name)


def over(w: World, seconds: float = 150.0) -> None:
    """All troubles end. Nobody may be forgotten or left waiting, and all that was accepted ends."""
    calm(w)
    since: dict[str, float] = {}
    for failover_delay_s in range(int(seconds)):
        wait(w, 1.0)
        if failover_delay_s == 75:
            for name in w.nodes:
                for job_id in sorted(w.accepted):
                    assert w.query(name, job_id) is not None, f"forgotten: {job_id} on {name}"
        stuck = w.stuck()
        since = {job_id: since.get(job_id, w.clock.now) for job_id in stuck}
        for job_id, at in since.items():
            assert w.clock.now - at < 90.0, f"{job_id} waits for 90 s though it fits"
        for task_id in running(w):
            if w.rng.random() < 0.2:
                w.finish(task_id)
    for name in w.nodes:
        for job_id in sorted(w.accepted):
            assert w.query(name, job_id) in ("done", "aborted"), f"{job_id} never ended"
    assert not running(w)


def end(w: World, name: str) -> None:
    """The process ends."""
    del w.nodes[name]


def hand_over(w: World) -> str:
    """The leader ends, another takes over, and it is back; who owns then."""
    name, _, _ = owned(w)
    end(w, name)
    while w.leader() is None:
        wait(w, 0.5, fleet=False)
    w.boot(name)
    return owned(w)[0]


def test_more_work_than_room_over_slow_links_with_cancellations():
    w = quiet(machines=3, nodes=3)
    w.slow_s = 1.5
    w.capacity = 0
    for number in range(1, 13):
        w.submit("n1", w.job(number, parts=4, crew="blue", rank="urgent" if number % 3 == 0 else "normal"))
    for number in range(1, 10):
        wait(w, 2.0)
        if number % 2:
            w.cancel(f"n{number % 3}", f"req-{number:06d}")
        for task_id in running(w)[:2]:
            w.finish(task_id)
    waiting = sum(len(job.waiting) for job in owned(w)[1].scheduler.state.jobs.values())
    assert waiting > 4 and len(running(w)) >= 8, "more work than room"
    w.submit("n1", w.job(20, parts=1, rank="critical"))
    for _ in range(40):
        wait(w, 0.5)
        if any(x.coming and b"req-000020" in x.coming[1][1] for x in w.workers.values()):
            break
    assert w.cancel("n2", "req-000020") == "aborted"
    wait(w, 2.0)
    assert w.late_starts == ["req-000020/0"], "the start met the cancellation on its way"
    over(w)


@pytest.mark.parametrize("ends", [False, True])
def test_a_transaction_is_carried_out_and_only_its_answer_is_lost_while_others_read_it(ends):
    w = at_work()
    name, leader, other = owned(w)
    w.state.unanswered.add(name)
    w.submit(other, w.job(2, parts=1, crew="blue"))
    for _ in range(6):
        wait(w, 1.0, fleet=False)
        w.look(1, parts=4, guess_s=500.0)
        w.look(2, parts=1, crew="blue")
    for task_id in running(w):
        w.finish(task_id)
    for _ in range(6):
        wait(w, 1.0, fleet=False)
        w.look(1, parts=4, guess_s=500.0)
        w.look(2, parts=1, crew="blue")
    assert w.query(other, "req-000001") == "done", "others read what it wrote"
    assert w.submit(name, w.job(3)) == 503, "it can't know"
    assert w.submit(other, w.job(3)) == 200, "known to all, since it was carried out"
    assert w.look(3)[0] == "pending"
    assert w.nodes[name].cancel("req-000003")[0] == 503
    assert set(w.look(3)) == {"aborted"}
    if ends:
        end(w, name)
    over(w)


def test_a_heartbeat_held_back_until_a_new_leader_has_acted_changes_nothing():
    w = at_work(machines=2)
    old, _, _ = owned(w)
    held = [worker.heartbeat() for worker in w.workers.values()]  # all four tasks run
    for task_id in running(w)[:2]:
        w.finish(task_id)
    w.cancel(old, "req-000001")
    end(w, old)
    wait(w, 8.0, fleet=False)
    new, leader, _ = owned(w)
    assert new != old and not running(w)
    w.submit(new, w.job(2, parts=8))
    wait(w, 2.0, fleet=False)
    before = running(w)
    for heartbeat in held:
        w.replay(heartbeat, new)
    wait(w, 4.0, fleet=False)
    assert running(w) == before and len(before) == 8
    over(w)


def test_an_old_heartbeat_reaches_every_controller_just_as_a_new_leader_begins():
    """The first word it hears of a machine is minutes old: it gives no work for it and closes nothing."""
    w = at_work(machines=2)
    old, _, _ = owned(w)
    idle = [r for r in w.sent if not r.tasks]
    assert len({r.machine for r in idle}) == 2, "from before the tasks began"
    end(w, old)
    w.pass_time(5.0)
    for name in list(w.nodes):
        w.step_node(name)
        for heartbeat in idle:
            w.replay(heartbeat, name)
    new, leader, _ = owned(w)
    assert len(leader.scheduler.state.jobs["req-000001"].open) == 4, "the records' placements stand"
    w.submit(new, w.job(2, crew="blue", parts=8))
    for _ in range(3):
        w.step_node(new)
    assert not leader.scheduler.state.jobs["req-000002"].open, "who has not said our token gets no work"
    for _ in range(6):
        wait(w, 0.5, fleet=False)
        for heartbeat in idle:
            w.replay(heartbeat, new)
    assert len(running(w)) == 8
    over(w)


def test_jobs_of_few_tasks_that_end_far_apart_across_a_change_of_leader():
    w = quiet(machines=3, nodes=3)
    for number in (1, 2, 3):
        w.submit("n0", w.job(number, parts=number, crew="blue"))
    wait(w, 3.0, fleet=False)
    for number in (1, 2, 3):
        w.finish(f"req-{number:06d}/0")
    wait(w, 0.5, fleet=False)
    before = owned(w)[0]
    end(w, before)
    wait(w, 8.0, fleet=False)
    assert owned(w)[0] != before
    assert [set(w.look(n, parts=n, crew="blue")) for n in (1, 2, 3)] == [{"done"}, {"running"}, {"running"}]
    w.finish("req-000002/1")
    w.finish("req-000003/1")
    wait(w, 3.0, fleet=False)
    assert [w.query("n2", f"req-{n:06d}") for n in (2, 3)] == ["done", "running"]
    over(w)


def test_mute_workers_with_cancelled_tasks_are_told_directly_and_replaced():
    w = at_work(parts=8)
    mute = holder(w)
    mute.mute = True
    w.cancel("n1", "req-000001")
    wait(w, 1.0)
    assert not mute.running(), "a direct command reached it"
    assert w.submit("n0", w.job(2, parts=8, guess_s=500.0)) == 201
    wait(w, 30.0)
    assert mute.name in w.deleted
    assert len(running(w)) == 8
    over(w)


def test_jobs_bound_to_one_zone_lose_machines_and_come_back_there():
    w = two_zones()
    w.submit("n0", w.job(1, parts=4, yard="south", guess_s=500.0))
    w.submit("n0", w.job(2, parts=6, crew="blue", together=True, guess_s=500.0))
    w.submit("n0", w.job(3, parts=4, crew="blue", apart=True, guess_s=500.0))
    wait(w, 4.0, fleet=False)
    assert len(running(w)) == 14
    for name in [n for n, worker in w.workers.items() if worker.zone == "south"]:
        del w.workers[name]
    end(w, owned(w)[0])
    wait(w, 90.0)  # wrong_place is watched at each start
    assert len(running(w)) == 14
    over(w)


@pytest.mark.parametrize("gap_s", [0.0, 0.5, 4.0])
def test_controllers_hand_over_and_back_all_end_and_one_returns(gap_s):
    w = at_work(parts=8)
    leaders = [hand_over(w) for _ in range(4)]
    assert len(set(leaders)) > 1
    names = list(w.nodes)
    for name in names:
        end(w, name)
    w.pass_time(gap_s)
    w.boot("n1")
    wait(w, 6.0, fleet=False)
    assert list(w.nodes) == ["n1"] and w.leader() == "n1"
    assert len(running(w)) == 8, "within a lease all goes on"
    over(w)


def test_users_ask_and_cancel_while_the_state_service_refuses_the_leader_and_then_everybody():
    w = at_work(parts=4, machines=3)
    name, leader, other = owned(w)
    w.submit(other, w.job(2, parts=4, crew="blue"))
    wait(w, 2.0, fleet=False)
    w.finish("req-000002/0")
    w.state.refuses.add(name)
    assert w.nodes[name].query("req-000001")[0] == 503
    assert w.nodes[name].cancel("req-000001")[0] == 503, "not certain: never 200"
    assert w.cancel(other, "req-000001") == "aborted"
    w.state.down = True
    for _ in range(int(w.cancel_s + 8.0)):
        wait(w, 1.0)
        for node in w.nodes:
            assert w.query(node, "req-000002") is None
            assert w.query(node, "req-000001") in (None, "aborted")
    assert not running(w), "no view is fresh enough: all leases have run out, and the cancelled are halted"
    over(w)


def test_leaders_change_ten_times_in_two_minutes_also_inside_an_outage():
    w = at_work(parts=8)
    w.submit("n1", w.job(2, parts=8, crew="blue"))
    tokens = set()
    for failover_delay_s in range(10):
        tokens.add(owned(w)[1].membership.record.fencing_token)
        w.state.down = failover_delay_s == 4
        w.boot(owned(w)[0])
        if w.state.down:
            wait(w, 3.0)
            assert w.leader() is None, "nobody can become owner"
            w.state.down = False
        w.cancel("n2", "req-000001") if failover_delay_s == 6 else w.look(1, parts=8, guess_s=500.0)
        for _ in range(24):
            wait(w, 0.5)
            if w.leader() is not None:
                break
    assert len(tokens) >= 9
    over(w)


@pytest.mark.parametrize("late_s", [2.0, 12.0])
def test_transactions_without_an_answer_come_late_after_newer_ones_of_the_same_controller(late_s):
    w = at_work(parts=4, machines=3)
    name, leader, other = owned(w)
    w.submit(other, w.job(2, parts=4, crew="blue"))
    wait(w, 2.0, fleet=False)
    for number, (task_id, again) in enumerate([("req-000001/0", True), ("req-000002/1", False)], 3):
        w.state.lagging[name] = w.state.lagging[other] = late_s
        w.finish(task_id)
        assert w.submit(other, w.job(number, crew="blue", parts=1)) == 503
        if again:
            assert w.nodes[other].cancel("req-000002")[0] == 503
        wait(w, 1.0, fleet=False)
        w.state.lagging.clear()
        assert w.submit(other, w.job(number, crew="blue", parts=1)) == 201, "the newer one"
        wait(w, late_s + 1.0, fleet=False)
        w.look(number, crew="blue", parts=1)
        w.look(2, parts=4, crew="blue")
        w.look(1, parts=4, guess_s=500.0)
    assert not w.state.due and len(w.state.held) == 0
    over(w)


@pytest.mark.parametrize("trouble", ["cut", "deaf", "hung"])
def test_a_leader_ends_while_machines_with_long_tasks_can_not_be_reached_or_do_not_hear(trouble):
    w = at_work(parts=8)
    stranded = holder(w)
    parts = stranded.running()
    if trouble == "cut":
        w.cut |= {(stranded.name, node) for node in w.names}
    setattr(stranded, "deaf" if trouble == "deaf" else "hung", trouble != "cut")
    end(w, owned(w)[0])
    wait(w, 60.0)  # ran_twice is watched at each start
    assert stranded.name in w.deleted
    assert set(parts) <= set(running(w)), "they run elsewhere"
    over(w)


def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends():
    w = at_work(parts=2, machines=1)
    name, leader, other = owned(w)
    w.submit(other, w.job(2, parts=12, crew="blue", guess_s=500.0))
    w.state.lagging[name] = 6.0
    w.step_node(name)
    w.fleet(name)
    assert len(w.workers) > 1, "rented, and up at once"
    for _ in range(4):
        wait(w, 0.5)
    assert w.state.due and not [p for p in running(w) if p.startswith("req-000002")], "not durable, not begun"
    end(w, name)
    wait(w, 12.0)
    assert owned(w)[0] != name
    assert len([p for p in running(w) if p.startswith("req-000002")]) == 12
    over(w)


def test_users_look_at_all_nodes_within_an_instant_of_each_answer():
    w = quiet(machines=2, nodes=3)
    for number in range(1, 7):
        node = f"n{number % 3}"
        w.submit(node, w.job(number, parts=1))
        assert None not in w.look(number, parts=1)
        if number % 3 == 0:
            assert w.cancel(f"n{(number + 1) % 3}", f"req-{number:06d}") == "aborted"
            assert set(w.look(number, parts=1)) == {"aborted"}
            continue
        wait(w, 2.0, fleet=False)
        w.finish(f"req-{number:06d}/0")
        while "done" not in w.look(number, parts=1):
            w.step(0.01)
        assert set(w.look(number, parts=1)) == {"done"}
        assert w.cancel(node, f"req-{number:06d}") == "done"
    over(w)


def test_one_task_jobs_come_four_a_second_for_minutes_a_quarter_cancelled():
    w = quiet(machines=4, nodes=3, writes=20.0)
    submitted, cancelled = 0, 0
    for _ in range(240):
        for _ in range(2):
            submitted += 1
            number = submitted
            assert w.submit(f"n{number % 3}", w.job(number, parts=1, crew="blue", guess_s=1.0)) == 201
            if number % 4 == 0:
                cancelled += w.cancel(f"n{(number + 1) % 3}", f"req-{number - 3:06d}") == "aborted"
        wait(w, 0.5)
        for task_id in running(w):
            if w.rng.random() < 0.4:
                w.finish(task_id)
    assert submitted == 480 and cancelled > 60
    over(w, 100.0)
    assert sum(job_id not in w.cancelled for job_id in w.accepted) == submitted - cancelled
    assert sum(key.startswith("b/log/") for key in w.state.rows) < 60, "the log does not grow with the jobs"


@pytest.mark.parametrize("what", ["cancel", "question", "repeat"])
@pytest.mark.parametrize("moment", ["ended", "reported", "writing", "written"])
def test_a_cancellation_a_question_or_a_repeat_meets_the_end_of_the_last_task(what, moment):
    w = at_work(parts=1, machines=1)
    name, leader, other = owned(w)
    w.finish("req-000001/0")
    batch = None
    if moment != "ended":
        w.heartbeat(holder_of_ended(w), name)
    if moment in ("writing", "written"):
        batch = leader.scheduler.take_batch(12)
        assert batch is not None and batch.over == ["req-000001"]
    if moment == "written":
        leader.commit_loop.write(batch)
    told = set(w.look(1, parts=1, guess_s=500.0))
    if what == "cancel":
        assert w.cancel(other, "req-000001") == ("done" if moment == "written" else "aborted")
    if moment == "writing":
        leader.commit_loop.write(batch)
    assert told == ({"done"} if moment == "written" else {"running"})
    wait(w, 3.0, fleet=False)
    expected = "aborted" if what == "cancel" and moment != "written" else "done"
    assert set(w.look(1, parts=1, guess_s=500.0)) == {expected}
    over(w)


def holder_of_ended(w: World) -> Worker:
    return next(worker for worker in w.workers.values() if worker.tasks)


def test_jobs_are_cancelled_through_the_new_leader_while_the_old_one_serves_workers_and_users():
    w = at_work(parts=8, machines=2)
    old, deposed, _ = owned(w)
    w.state.lost.add(old)
    w.mesh_cut.add(old)
    wait(w, 3.5, fleet=False)  # its membership ends
    for _ in range(12):
        for name in list(w.nodes):
            if name != old:
                w.step_node(name)
        w.pass_time(0.2)
    new = next(n for n in w.nodes if n != old and w.nodes[n].scheduler.leader)
    assert deposed.scheduler.leader, "the old one can't know"
    assert w.cancel(new, "req-000001") == "aborted"
    assert deposed.query("req-000001")[0] == 503
    wait(w, w.cancel_s)
    assert not running(w)
    over(w)


def test_jobs_are_cancelled_in_the_seconds_in_which_the_work_changes_hands(monkeypatch):
    """Before the new leader's last read, between that and its adoption, and right after."""
    w = at_work(parts=3)
    old, _, other = owned(w)
    w.submit(other, w.job(2, parts=3, crew="blue", guess_s=500.0))
    w.submit(other, w.job(3, parts=2, crew="blue", guess_s=500.0))
    wait(w, 2.0, fleet=False)
    assert len(running(w)) == 8
    end(w, old)
    w.pass_time(4.0)
    third = next(n for n in w.nodes if n != other)
    assert w.cancel(third, "req-000001") == "aborted"
    node = w.nodes[other]
    recover = node.scheduler.recover
    seen = []

    def amid(recovered):
        recover(recovered)
        seen.append(w.cancel(third, "req-000002"))

    monkeypatch.setattr(node.scheduler, "recover", amid)
    for _ in range(10):
        w.step_node(other)
        w.pass_time(0.2)
    assert seen == ["aborted"] and node.scheduler.leader
    assert w.cancel(third, "req-000003") == "aborted"
    wait(w, 6.0, fleet=False)
    assert not running(w)
    over(w)


def test_old_heartbeats_of_earlier_epochs_and_attempts_arrive_after_newer_ones():
    w = at_work(parts=4, machines=2)
    name, leader, _ = owned(w)
    early = list(w.sent)
    worker = holder(w)
    worker.answered = 0.0  # its lease has run out
    wait(w, 3.0)
    assert worker.epoch == 2 and len(running(w)) == 4
    attempts = sorted(a.number for x in w.workers.values() for a in x.tasks.values())
    assert max(attempts) > 4, "begun again under later attempts"
    for heartbeat in early:
        for node in w.names:
            w.replay(heartbeat, node)
    wait(w, 5.0)
    assert sorted(a.number for x in w.workers.values() for a in x.tasks.values()) == attempts
    assert w.deleted == []
    over(w)


def test_a_command_and_its_answer_are_held_up_and_the_machine_then_goes_on():
    w = at_work(parts=2, machines=1)
    name, leader, _ = owned(w)
    worker = holder(w)
    task_id = worker.running()[0]
    attempt = next(a.number for a in worker.tasks.values() if a.task_id == task_id)
    late = workers.encode_stop_commands(
        leader.membership.record.fencing_token, worker.epoch, [workers.Stop(task_id, attempt, 0.0)]
    )
    worker.hung = True
    wait(w, 4.0, fleet=False)
    worker.hung = False
    wait(w, 2.0, fleet=False)
    w.finish(task_id)
    wait(w, 2.0, fleet=False)
    body = w.command(name, f"{worker.name}:9", late)  # executed only now
    assert body is not None
    wait(w, 2.0, fleet=False)
    assert len(running(w)) == 1, "it names an attempt that is over, and stops nothing else"
    over(w)


def test_a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease():
    w = two_zones()
    w.submit("n0", w.job(1, parts=8, crew="blue", guess_s=500.0))
    w.submit("n0", w.job(2, parts=4, guess_s=500.0))
    wait(w, 4.0, fleet=False)
    assert len(running(w)) == 12
    south = [x for x in w.workers.values() if x.zone == "south"]
    north = [x for x in w.workers.values() if x.zone == "north"]
    for worker in south:
        worker.at = "n1"
    w.cut |= {(x.name, node) for x in south for node in ("n0", "n2")}
    w.cut |= {(x.name, "n1") for x in north}
    w.state.lost.add("n1")
    w.mesh_cut.add("n1")
    w.cancel("n2", "req-000002")
    wait(w, w.lease_s + 10.0)
    wait(w, 40.0)
    assert not [p for p in running(w) if p.startswith("req-000002")]
    assert len(running(w)) == 8
    over(w)


@pytest.mark.parametrize("trouble", ["cut", "hung"])
def test_every_team_is_at_its_limit_while_jobs_are_cancelled_on_stranded_machines_and_the_leader_changes(
    trouble,
):
    w = quiet(machines=6, nodes=3)
    w.submit("n0", w.job(1, parts=8, guess_s=500.0))
    w.submit("n0", w.job(2, parts=16, crew="blue", guess_s=500.0))
    w.submit("n0", w.job(3, parts=8, guess_s=500.0))
    w.submit("n0", w.job(4, parts=16, crew="blue", guess_s=500.0))
    wait(w, 5.0, fleet=False)
    assert len(running(w)) == 24, "both teams are at their limits, and more waits"
    stranded = [x for x in w.workers.values() if x.running()][:2]
    for worker in stranded:
        if trouble == "cut":
            w.cut |= {(worker.name, node) for node in w.names}
        else:
            worker.hung = True
    w.cancel("n1", "req-000001")
    w.cancel("n2", "req-000002")
    end(w, owned(w)[0])
    left = len([p for x in stranded for p in x.running()])
    assert left > 0
    wait(w, 14.0)  # quota is watched
    wait(w, w.cancel_s)
    assert not [p for p in running(w) if p[:10] in ("req-000001", "req-000002")]
    assert len(running(w)) == 24, "what waited has taken the room"
    over(w)


def test_all_controllers_are_away_for_longer_than_a_lease():
    w = at_work(parts=8)
    w.submit("n0", w.job(2, parts=2, crew="blue", guess_s=500.0))
    wait(w, 3.0)
    w.cancel("n0", "req-000002")
    for name in list(w.nodes):
        end(w, name)
    for _ in range(int(w.lease_s + 4.0)):
        w.pass_time(1.0)
        for worker in w.workers.values():
            worker.check_lease()
    assert not running(w), "all leases have run out"
    for name in w.names:
        w.boot(name)
    wait(w, 10.0)
    assert len(running(w)) == 8 and w.deleted == []
    over(w)


NEVER = ({"cpus": 64.0}, {"crew": "nobody"}, {"builds": ["none"]}, {"parts": 3, "shape": "gang", "cpus": 4.0})


def test_odd_requests_get_their_answers_and_are_not_accepted():
    w = at_work(parts=1, machines=1)
    w.finish("req-000001/0")
    wait(w, 3.0, fleet=False)
    assert set(w.look(1, parts=1, guess_s=500.0)) == {"done"}
    assert w.cancel("n2", "req-000001") == "done"
    whole = orjson.loads(w.job(2))
    for name in list(w.nodes):
        for fields in NEVER:
            assert w.submit(name, w.job(2, **fields)) == 422, fields
        for field in ("lane", "crew", "shape", "rank", "parts", "cpus", "mem_gb", "together", "guess_s"):
            assert w.submit(name, orjson.dumps({k: v for k, v in whole.items() if k != field})) == 400, field
        assert w.nodes[name].query("req-000002")[0] == 404
    assert w.accepted == {"req-000001"}
    over(w, 100.0)


# -- two or three troubles at a time, drawn by a seed --------------------------------------------------------


def draw(w: World, trouble: str) -> None:  # noqa: C901 (a list of troubles, one after the other)
    """One trouble begins."""
    rng = w.rng
    names = sorted(w.nodes)
    node = rng.choice(names)
    leader = w.leader() or node
    some = rng.sample(sorted(w.workers), min(2, len(w.workers)))
    if trouble == "refused":
        w.state.refuses.add(leader)
    elif trouble == "outage":
        w.state.down = True
    elif trouble == "gap":
        w.state.refuses.add(leader)
        wait(w, rng.choice([0.5, 1.5, 2.5]))
        for job_id in sorted(w.accepted)[-3:]:
            w.cancel(rng.choice([n for n in names if n != leader] or names), job_id)
        w.state.down = True
    elif trouble == "unanswered":
        w.state.unanswered.add(rng.choice([leader, node]))
    elif trouble == "lagging":
        w.state.lagging[rng.choice([leader, node])] = rng.uniform(2.0, 12.0)
    elif trouble == "blind":
        w.state.blind.add(leader)
    elif trouble == "isolated":
        w.state.lost.add(leader)
        w.mesh_cut.add(leader)
    elif trouble == "peers":
        w.mesh_cut.add(node)
    elif trouble == "ends":
        end(w, leader)
        if rng.random() < 0.5 or not w.nodes:
            w.boot(leader)  # back within an instant
    elif trouble == "all end":
        for name in names:
            end(w, name)
        w.pass_time(rng.choice([0.0, 1.0, 16.0]))
        w.boot(node)
    elif trouble == "frozen":
        w.frozen.add(leader)
    elif trouble == "cut":
        w.cut |= {(name, other) for name in some for other in (w.names if rng.random() < 0.5 else [leader])}
    elif trouble == "copies":
        for heartbeat in rng.sample(w.sent, min(20, len(w.sent))):
            w.replay(heartbeat, rng.choice(sorted(w.nodes)))
    elif trouble == "slow":
        w.slow_s = rng.uniform(0.5, 3.5)
    else:
        for name in some:
            setattr(w.workers[name], trouble, True)


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
    "deaf",
    "mute",
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
    w = World(3, seed=seed, policy=policy)
    for n in range(5):
        w.machine(zone="north" if n % 2 else "south", spot=n % 3 > 0)
    wait(w, 2.0)
    rng = w.rng
    number = 0
    fields: dict[int, dict] = {}
    for _ in range(4):
        troubles = rng.sample(TROUBLES, rng.choice([2, 3]))
        for failover_delay_s in range(24):
            if failover_delay_s in (4, 8, 12) and troubles:
                draw(w, troubles.pop())
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
                w.submit(rng.choice(sorted(w.nodes)), w.job(number, **fields[number]))
            known = sorted(w.accepted)
            if known and rng.random() < 0.4:
                w.cancel(rng.choice(sorted(w.nodes)), rng.choice(known))
            if known and rng.random() < 0.4:
                asked = int(rng.choice(known)[4:])
                w.look(asked, **fields[asked])
            for task_id in running(w):
                if rng.random() < 0.05:
                    w.finish(task_id)
            wait(w, rng.choice([0.5, 1.0, 2.0]))
        calm(w)
    over(w, 200.0)


def test_a_read_vouches_for_nothing_that_nobody_was_told_of_yet():
    """One thread has taken a cancellation in and is about to tell the scheduler; the read of a second one
    finds it there already, and must not count before the first one is through."""
    w = quiet(machines=1, nodes=2)
    name, leader, other = owned(w)
    w.submit(name, w.job(1))
    leader.watch_cache.pull(0.0)
    assert w.cancel(other, "req-000001") == "aborted"
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
    w.clock.now += 1.0
    second = threading.Thread(target=leader.watch_cache.pull, args=(0.0,))
    second.start()
    second.join(0.3)  # unmended it is through by then; mended it never is
    assert leader.watch_cache.as_of == before and not leader.scheduler.state.jobs["req-000001"].cancelled
    go_on.set()
    for thread in (first, second):
        thread.join()
    assert leader.watch_cache.as_of > before and leader.scheduler.state.jobs["req-000001"].cancelled
