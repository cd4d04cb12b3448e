"""Where two troubles meet: a story for each meeting that the operators have named (docs/meetings.md).

Each story brings its meeting about, asserts that it did come about, and leaves the rules to the world's
watch: it checks them at every start, at every answer to a user and at every step.
"""

import pytest
from test_stories import quiet, running, wait
from world import Worker, World

from bayford.coordination.controller import Controller
from bayford.protocol import mesh
from bayford.transport.front import Mesh
from bayford.transport.server import Request


def owned(w: World) -> tuple[str, Controller, str]:
    """The owner's name, the owner, and another controller."""
    name = w.owner()
    assert name is not None
    return name, w.nodes[name], next(n for n in w.nodes if n != name)


def at_work(parts: int = 4, machines: int = 2, nodes: int = 3, **world_fields) -> World:
    """A world in which job 1 runs and has long to go; workers have settled at the owner."""
    w = quiet(machines=machines, nodes=nodes, **world_fields)
    w.submit("n0", w.job(1, parts=parts, guess_s=500.0))
    wait(w, 4.0, fleet=False)
    assert len(running(w)) == parts
    return w


def holder(w: World) -> Worker:
    return next(worker for worker in w.workers.values() if worker.running())


# -- the gap: the leader alone is refused, another confirms cancellations, then the service is down for all --


@pytest.mark.parametrize("news", [True, False])
@pytest.mark.parametrize("refused_s", [0.5, 1.5, 2.4])
def test_in_the_gap_cancelled_tasks_are_gone_in_time(refused_s, news):
    """With news over the mesh they are halted at once; without, the bound on old views sees to it."""
    w = at_work()
    name, owner, other = owned(w)
    if not news:
        w.mesh_cut.add(name)
        w.pass_time(0.0)
    w.state.refuses.add(name)
    wait(w, refused_s, fleet=False)
    assert w.cancel(other, "req-000001") == "aborted"
    w.nodes[other].tell_cancelled()
    w.state.down = True
    assert not owner.mirror.cancelled("req-000001"), "the owner has not read it"
    wait(w, 2.0)
    told = w.clock.now
    if news:
        wait(w, 3.0)
        assert not running(w), "halted on the other controller's word"
    wait(w, w.cancel_s + 5.0)  # the world watches the bound
    assert w.clock.now - told > w.cancel_s and not running(w)
    assert w.owner() == name, "nobody has taken over: the service was down for all"
    w.state.refuses.clear()
    w.state.down = False
    w.mesh_cut.clear()
    wait(w, 10.0)
    assert {w.query(n, "req-000001") for n in w.nodes} == {"aborted"}


def test_an_owner_whose_reads_fail_does_not_take_its_writes_for_a_view_of_the_cancellations():
    """Its commits and comparisons of the map held, while it learned of nothing that others had confirmed."""
    w = at_work(machines=4)
    name, owner, other = owned(w)
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
    assert owner.engine.owner and w.state.epoch - before > 10
    assert not owner.mirror.cancelled("req-000001")
    w.state.down = True
    wait(w, w.cancel_s, fleet=False)
    assert not [p for p in running(w) if p.startswith("req-000001/")]


@pytest.mark.parametrize("mixed", [False, True])
def test_in_the_gap_a_machine_that_hangs_with_cancelled_tasks_is_deleted_in_time(mixed):
    """Nobody can be sure to be the owner, and a machine that hangs heeds no lease. It goes, and it alone; if
    it holds other work too, only when there is just the time for it left."""
    w = at_work(parts=2 if mixed else 8, cancel_s=30.0)
    name, owner, other = owned(w)
    assert owner.engine.staleness_limit() < 0.5 * w.cancel_s, "no longer sure when it has to act"
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
    holder(w).hung = True  # not silent for long enough yet when the owner stops judging
    wait(w, w.cancel_s)
    assert w.deleted == []


def test_an_owner_that_is_refused_alone_deletes_nothing_unverified():
    """Another is served, so it is that one's to judge: it has taken over, or is about to."""
    w = at_work(parts=8)
    name, owner, other = owned(w)
    w.state.refuses.add(name)
    assert w.cancel(other, "req-000001") == "aborted"
    w.nodes[other].tell_cancelled()
    assert owner.engine.jobs["req-000001"].cancelled
    assert not owner._unrivalled()
    w.state.down = True
    wait(w, 8.0, fleet=False)  # by then no other says any more that it is served
    assert owner._unrivalled()
    owner._peers_served[other] = w.clock.now
    assert not owner._unrivalled(), "another is served"
    owner._peers_served.clear()
    owner.membership.heard(owner.membership.view.token + 1)
    assert not owner._unrivalled(), "somebody has seen a higher token"


def test_a_relay_halts_what_it_knows_as_cancelled_without_a_fresh_view():
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
    w.nodes[relay].hear_cancelled({"req-000001": w.clock.wall()})
    w.report(worker, relay)
    assert not running(w)


def test_direct_halts_of_cancelled_jobs_go_out_on_any_view_and_others_do_not():
    w = at_work(parts=2, machines=1)
    name, owner, other = owned(w)
    worker = holder(w)
    worker.mute = True
    w.state.refuses.add(name)
    wait(w, 0.5, fleet=False)
    assert w.cancel(other, "req-000001") == "aborted"
    w.state.down = True
    w.pass_time(owner.engine.staleness_limit() + 1.0)
    assert not owner._sure()
    assert w.nodes[other].tell_cancelled()
    w.step_node(name)
    assert not running(w), "halted by a direct command"


def test_a_cancellation_is_told_to_the_owner_until_it_hears_and_not_for_ever():
    w = at_work()
    name, owner, other = owned(w)
    w.mesh_cut.add(name)
    w.state.refuses.add(name)
    assert w.cancel(other, "req-000001") == "aborted"
    assert not w.nodes[other].tell_cancelled()
    w.mesh_cut.clear()
    assert w.nodes[other].tell_cancelled() and owner.engine.jobs["req-000001"].cancelled
    w.mesh_cut.add(name)
    w.submit(other, w.job(2))
    assert w.cancel(other, "req-000002") == "aborted"
    assert not w.nodes[other].tell_cancelled()
    w.pass_time(w.cancel_s)
    assert w.nodes[other].tell_cancelled(), "too late to be of use to anybody"


def test_news_of_cancellations_over_the_mesh_are_checked_and_unknown_to_older_releases():
    w = quiet(nodes=2)
    name, owner, other = owned(w)
    w.submit(name, w.job(1))
    wait(w, 2.0, fleet=False)
    ours = Mesh(owner)
    for body in (b"{", b"[]", b'{"req-000001":"now"}', b'{"req-000001":null}'):
        assert ours.handle(Request("POST", mesh.CANCELLED_PATH, body, 0.0)).status == 400
    assert ours.handle(Request("GET", mesh.CANCELLED_PATH, b"", 0.0)).status == 404
    assert not owner.engine.jobs["req-000001"].cancelled
    body = mesh.encode_cancelled({"req-000001": w.clock.wall(), "req-000099": w.clock.wall()})
    assert ours.handle(Request("POST", mesh.CANCELLED_PATH, body, 0.0)).status == 200
    assert owner.engine.jobs["req-000001"].cancelled


def test_a_job_called_off_before_the_owner_has_read_of_it_never_starts():
    w = quiet(nodes=3)
    name, owner, other = owned(w)
    w.state.blind.add(name)
    assert w.submit(other, w.job(1)) == 201
    assert w.cancel(other, "req-000001") == "aborted"
    assert w.nodes[other].tell_cancelled()
    w.state.blind.clear()
    wait(w, 5.0, fleet=False)
    assert not running(w) and "req-000001" not in owner.engine.jobs


def test_a_start_goes_out_only_after_a_read_that_shows_what_others_have_cancelled():
    """The check before a start was a comparison of the map; a cancellation confirmed elsewhere in between
    was no part of it, and the task was started all the same."""
    w = quiet(machines=1, nodes=3)
    name, owner, other = owned(w)
    w.submit(name, w.job(1))
    owner.mirror.pull(0.0)
    owner.engine.round()
    owner.commit_once()
    assert owner.engine.jobs["req-000001"].open
    assert w.cancel(other, "req-000001") == "aborted"
    w.report(next(iter(w.workers.values())), name)
    assert not running(w)
