"""Short stories of failures, one rule or one guard each, against the in-memory world."""

import msgspec
import pytest
from world import World

from bayford.clock import NEVER
from bayford.coordination.controller import Controller
from bayford.coordination.leader.job_records import JobRecords
from bayford.coordination.leader.scaling_actions import LaunchRequest
from bayford.protocol.cloud_api import NoCapacityError
from bayford.storage import records
from bayford.storage.counting_store import CountingStore
from bayford.storage.key_value_store import UnavailableError


def quiet(machines: int = 2, nodes: int = 1, **world_fields) -> World:
    """A world with some machines reporting and a leader."""
    w = World(nodes, **world_fields)
    for _ in range(machines):
        w.machine()
    for _ in range(3):
        w.step()
    assert w.leader() is not None
    return w


def running(w: World) -> list[str]:
    return sorted(p for worker in w.workers.values() for p in worker.running())


def task_log_rows(w: World) -> dict:
    return {k: v for k, v in w.state.rows.items() if k.startswith(records.LOG)}


def decided(w: World, leader: str = "n0", **fields) -> Controller:
    """The leader, which has decided where the tasks of a first job go and written nothing of it yet."""
    w.submit(leader, w.job(1, **fields))
    node = w.nodes[leader]
    node.watch_cache.pull(0.0)
    node.scheduler.round()
    return node


def deposed_with_work() -> tuple[World, str, str]:
    """A world, its old leader that has decided something but not written it, and the new leader."""
    w = quiet(nodes=2)
    old_name = w.leader()
    decided(w, old_name, parts=4)
    other = next(n for n in w.nodes if n != old_name)
    assert w.nodes[other].membership.acquire_leadership(other)
    return w, old_name, other


def test_a_job_runs_and_is_called_done():
    w = quiet()
    assert w.submit("n0", w.job(1, parts=3)) == 201
    w.step()
    w.step()
    assert running(w) == ["req-000001/0", "req-000001/1", "req-000001/2"]
    assert w.query("n0", "req-000001") == "running"
    for t in range(3):
        w.finish(f"req-000001/{t}")
    w.step()
    w.step()
    assert w.query("n0", "req-000001") == "done"
    assert w.cancel("n0", "req-000001") == "done"
    assert w.submit("n0", w.job(1, parts=3)) == 200
    assert not any(worker.tasks for worker in w.workers.values()), "ended tasks are reaped"


def test_a_retry_is_answered_with_the_state_on_any_node_and_unknown_ids_get_404():
    w = quiet(nodes=3)
    assert w.submit("n2", w.job(1)) == 201
    assert w.submit("n1", w.job(1)) == 200
    assert w.nodes["n1"].query("req-000999")[0] == 404
    assert w.nodes["n1"].cancel("req-000999")[0] == 404


def test_a_node_that_can_not_know_says_503_not_404():
    w = quiet(nodes=2)
    w.submit("n0", w.job(1))
    w.state.refuses.add("n1")
    assert w.nodes["n1"].query("req-000001")[0] == 503
    assert w.nodes["n1"].submit(w.job(2))[0] == 503


def test_422_for_what_can_never_run_but_not_for_a_known_job():
    w = quiet()
    assert w.nodes["n0"].submit(w.job(1, crew="green"))[0] == 422
    assert w.nodes["n0"].submit(w.job(1, cpus=6.0, builds=["small"]))[0] == 422
    assert w.nodes["n0"].submit(w.job(1, cpus=3.0, shape="gang", parts=3))[0] == 422, "8 at most"
    assert w.nodes["n0"].submit(w.job(1, cards=1.0, shape="gang", parts=3, crew="blue"))[0] == 422
    assert w.nodes["n0"].submit(w.job(1, yard="south", cards=1.0, crew="blue"))[0] == 422
    w.nodes["n0"].scheduler.state.types = []
    assert w.nodes["n0"].submit(w.job(2))[0] == 503, "machine types unknown: can't decide"
    w.nodes["n0"].scheduler.set_types(w.catalog())
    assert w.submit("n0", w.job(3)) == 201
    w.nodes["n0"].scheduler.state.types = []
    assert w.submit("n0", w.job(3)) == 200, "a known job is never refused again"


def test_the_team_limit_holds_and_counts_placements_that_have_not_started():
    w = quiet(machines=6)
    w.submit("n0", w.job(1, parts=30))
    for _ in range(4):
        w.step()  # checks the limit of 8
    assert len(running(w)) == 8


def test_a_team_whose_limits_are_0_has_none():
    """A limit of 0 was taken for nothing at all, and a whole deployment ran no task."""
    w = quiet(machines=9)
    card = w.machine("cards")
    assert w.submit("n0", w.job(3, crew="open", cards=1.0, cpus=4.0, parts=2)) == 201
    for _ in range(4):
        w.step()
    assert len(card.running()) == 2
    w.execute_delete([card.name])
    assert w.submit("n0", w.job(1, crew="open", parts=2500, guess_s=500.0)) == 201
    assert w.submit("n0", w.daemon(2, crew="open", parts=40, loaners=True)) == 201
    for _ in range(6):
        w.step()
    assert len(running(w)) == 36
    w.fleet("n0")
    assert len(w.workers) > 50, "machines are rented for all that waits"


def test_a_placement_starts_only_after_it_is_committed():
    w = quiet()
    decided(w)
    w.state.refuses.add("n0")
    for worker in w.workers.values():
        w.heartbeat(worker)
    assert running(w) == []
    w.state.refuses.clear()
    w.step()
    assert len(running(w)) == 2


def test_a_lost_answer_to_a_committed_transaction_loses_and_doubles_nothing():
    w = quiet()
    node = decided(w)
    w.state.lose_answer.add("n0")
    assert not w.try_(node.commit_loop.commit_once) or node.scheduler.has_pending_writes()
    for _ in range(3):
        w.step()
    assert len(running(w)) == 2
    for t in range(2):
        w.finish(f"req-000001/{t}")
    w.step()
    w.step()
    assert w.query("n0", "req-000001") == "done"


def test_a_transaction_executed_late_does_not_overwrite_what_came_after_it():
    w = quiet()
    node = decided(w)
    w.state.hold.add("n0")
    w.try_(node.commit_loop.commit_once)
    assert w.state.held
    w.step()
    for t in range(2):
        w.finish(f"req-000001/{t}")
    w.step()
    w.step()
    assert w.query("n0", "req-000001") == "done"
    assert not any(outcome.applied for outcome in w.state.release())
    assert w.query("n0", "req-000001") == "done"


def test_a_failover_continues_with_starts_in_flight():
    w = quiet(nodes=2)
    leader = w.leader()
    w.submit("n1", w.job(1))
    w.nodes[leader].watch_cache.pull(0.0)
    w.nodes[leader].scheduler.round()
    w.nodes[leader].commit_loop.commit_once()  # placed and committed, not started
    before = w.nodes[leader].membership.record.fencing_token
    del w.nodes[leader]
    for _ in range(12):
        w.step()
    new = w.nodes[w.leader()]
    assert new.membership.record.fencing_token > before
    assert running(w) == ["req-000001/0", "req-000001/1"]


def test_a_deposed_leader_can_neither_write_nor_start():
    w, old_name, other = deposed_with_work()
    old = w.nodes[old_name]
    w.step_node(other)
    worker = next(iter(w.workers.values()))
    w.heartbeat(worker, old_name)  # the old leader does not know yet
    assert worker.running() == []
    old.commit_loop.commit_once()
    assert not old.scheduler.leader, "its write failed on the map, so it has stepped down"
    for _ in range(3):
        w.step()
    assert len(running(w)) == 4


def test_a_late_answer_of_a_deposed_leader_is_dropped_by_its_token():
    w = quiet(nodes=2)
    old_name = w.leader()
    worker = next(iter(w.workers.values()))
    sent, heartbeat = w.clock.now, worker.heartbeat()
    late = w.nodes[old_name].heartbeat(heartbeat, NEVER)
    other = next(n for n in w.nodes if n != old_name)
    assert w.nodes[other].membership.acquire_leadership(other)
    w.step_node(other)
    assert w.heartbeat(worker, other) == 200
    assert worker.take(late, sent, heartbeat.epoch) == 0


def test_a_node_behind_the_token_of_a_worker_commands_nothing():
    w = quiet()
    worker = next(iter(w.workers.values()))
    worker.fencing_token = 99
    assert w.heartbeat(worker, "n0") == 503


def test_a_cancelled_job_is_stopped_and_stays_cancelled_across_a_failover():
    w = quiet(nodes=2)
    leader = w.leader()
    other = next(n for n in w.nodes if n != leader)
    w.submit(leader, w.job(1))
    w.step()
    w.step()
    assert w.cancel(other, "req-000001") == "aborted"
    del w.nodes[leader]
    for _ in range(14):
        w.step()
    assert running(w) == []
    assert w.query(other, "req-000001") == "aborted"
    assert w.nodes[other].scheduler.state.quotas[0].used_cpus == 0


def test_a_cancel_racing_the_last_task_has_one_outcome():
    w = quiet()
    w.submit("n0", w.job(1, parts=1))
    w.step()
    w.step()
    w.finish("req-000001/0")
    for worker in w.workers.values():
        w.heartbeat(worker)  # the scheduler knows the end, the store does not yet
    assert w.cancel("n0", "req-000001") == "aborted"
    w.step()
    w.step()
    assert w.query("n0", "req-000001") == "aborted"


def test_a_cancel_that_comes_while_done_is_being_written_has_the_last_word():
    w = quiet(nodes=2)
    leader = w.leader()
    node = w.nodes[leader]
    other = next(n for n in w.nodes if n != leader)
    w.submit(leader, w.job(1, parts=1))
    for _ in range(3):
        w.step()
    w.finish("req-000001/0")
    for worker in w.workers.values():
        w.heartbeat(worker, leader)
    batch = node.scheduler.take_batch(12)
    assert batch is not None and batch.over == ["req-000001"]
    assert w.cancel(other, "req-000001") == "aborted"
    node.commit_loop.write(batch)
    for _ in range(3):
        w.step()
    assert {w.query(n, "req-000001") for n in w.nodes} == {"aborted"}


def test_an_ended_task_is_reaped_only_once_its_end_is_durable():
    w = quiet(machines=1)
    worker = next(iter(w.workers.values()))
    w.submit("n0", w.job(1, parts=2))
    for _ in range(3):
        w.step()
    w.finish("req-000001/0")
    w.state.down = True
    for _ in range(3):
        w.step()
    assert ("req-000001/0", "ended") in [(a.task_id, a.phase) for a in worker.tasks.values()]
    w.state.down = False
    for _ in range(3):
        w.step()
    assert [a.task_id for a in worker.tasks.values()] == ["req-000001/1"]


def test_a_cancelled_placement_is_closed_only_by_a_heartbeat_sent_after_the_cancel():
    """A heartbeat that a cut held back may lack a task that has started since; it proves nothing."""
    w = quiet(machines=1)
    worker = next(iter(w.workers.values()))
    node = decided(w, parts=1)
    node.commit_loop.commit_once()
    w.cancel("n0", "req-000001")
    node.watch_cache.pull(0.0)
    node.scheduler.on_heartbeat(worker.heartbeat(), after=w.clock.now - 5.0)
    assert node.scheduler.state.quotas[0].used_cpus == 1.0
    w.pass_time(1.0)
    node.scheduler.on_heartbeat(worker.heartbeat(), after=w.clock.now)
    assert node.scheduler.state.quotas[0].used_cpus == 0.0


def test_a_silent_machine_is_deleted_before_its_tasks_are_requeued():
    w = quiet(machines=1)
    w.capacity = 0
    w.submit("n0", w.job(1, parts=1))
    w.step()
    w.step()
    silent = next(iter(w.workers.values()))
    w.cut.add((silent.name, "n0"))
    spare = w.machine()
    w.deletes_lost = True
    for _ in range(40):
        w.step(1.0)
        w.fleet("n0")
    assert w.late_deletes, "deletion was asked for"
    assert running(w) in ([], ["req-000001/0"]) and not spare.running(), "no proof yet: nothing is requeued"
    w.deletes_lost = False
    for _ in range(3):
        w.step(1.0)
        w.fleet("n0")
    assert silent.name in w.deleted
    w.step()
    assert spare.running() == ["req-000001/0"]


def test_a_cancel_that_no_worker_confirms_ends_with_the_machine():
    w = quiet(machines=2)
    w.submit("n0", w.job(1, parts=1))
    w.step()
    w.step()
    holder = next(worker for worker in w.workers.values() if worker.running())
    w.cut.add((holder.name, "n0"))
    holder.answered = 1e12  # hangs within its lease, as far as anybody can tell
    w.cancel("n0", "req-000001")
    for _ in range(30):
        w.step(1.0)  # the rule cancel_s is checked here
        w.fleet("n0")
    assert holder.name in w.deleted


def test_a_later_epoch_proves_that_the_tasks_are_gone():
    w = quiet(machines=1)
    w.submit("n0", w.job(1, parts=1))
    w.step()
    w.step()
    worker = next(iter(w.workers.values()))
    worker.answered = 0.0
    w.step()
    w.step()
    assert worker.epoch == 2
    assert worker.running() == ["req-000001/0"]


def test_an_old_heartbeat_changes_nothing():
    w = quiet(machines=1)
    worker = next(iter(w.workers.values()))
    old = worker.heartbeat()
    w.submit("n0", w.job(1, parts=1))
    w.step()
    w.step()
    assert worker.running()
    status, body, _ = w.nodes["n0"].heartbeat(old, NEVER)
    assert status == 200 and b'"orders":[]' in body
    assert w.nodes["n0"].scheduler.state.quotas[0].used_cpus == 1.0


def test_a_worker_that_lost_the_leader_is_relayed_at_once_a_new_one_when_it_comes_back():
    w = quiet(machines=1, nodes=2)
    leader = w.leader()
    other = next(n for n in w.nodes if n != leader)
    known = next(iter(w.workers.values()))
    fresh = w.machine()
    w.cut |= {(known.name, leader), (fresh.name, leader)}
    assert w.heartbeat(fresh, other) == 421, "never seen by anybody: the owner is the place to go"
    for _ in range(3):
        w.step(1.0)
    assert w.heartbeat(fresh, other) == 200, "it came back: the owner is out of its reach"
    assert w.heartbeat(known, other) == 200, "it has the owner's token, so it has just lost the owner"
    for _ in range(11):
        w.step(1.0)
    assert w.heartbeat(known, other) == 421, "by and by it tries the owner again"


def test_a_relayed_worker_keeps_its_lease_and_gets_its_orders_from_the_records():
    # A second worker, which the leader hears, keeps it from handing over to the relay.
    w = quiet(machines=2, nodes=2)
    leader = w.leader()
    other = next(n for n in w.nodes if n != leader)
    worker = next(iter(w.workers.values()))
    w.cut.add((worker.name, leader))
    w.submit(leader, w.job(1, parts=8))
    for _ in range(8):
        w.step(1.0)
        w.heartbeat(worker, other)
    assert len(worker.running()) == 4
    w.finish(worker.running()[0])
    for _ in range(4):
        w.step(1.0)
        w.heartbeat(worker, other)
    assert w.nodes[leader].scheduler.state.jobs["req-000001"].done, (
        "the owner has learned it through the store"
    )
    w.cancel(other, "req-000001")
    for _ in range(4):
        w.step(1.5)
        w.heartbeat(worker, other)
    assert worker.running() == []


def test_a_relay_that_the_state_does_not_serve_sends_workers_to_one_that_it_serves():
    """It kept them, their reports went nowhere, and the leader deleted a sixth of the fleet as silent."""
    w = quiet(machines=1, nodes=3)
    leader = w.leader()
    worker = next(iter(w.workers.values()))
    w.submit(leader, w.job(1, parts=4, guess_s=500.0))
    wait(w, 3.0, fleet=False)
    lost, able = (n for n in w.nodes if n != leader)
    w.cut.add((worker.name, leader))
    w.state.refuses.add(lost)
    worker.at = lost
    before = running(w)
    wait(w, 40.0)
    assert w.deleted == [] and running(w) == before and len(before) == 4
    assert worker.at == able


def test_during_an_outage_heartbeats_are_answered_nothing_starts_and_it_ends_in_time():
    w = quiet(machines=1)
    w.submit("n0", w.job(1, parts=1))
    w.step()
    w.step()
    worker = next(iter(w.workers.values()))
    w.state.down = True
    began = w.clock.now
    statuses = []
    while w.clock.now - began < 40.0:
        w.pass_time(1.0)
        statuses.append((w.clock.now - began, w.heartbeat(worker)))
    answered = [t for t, s in statuses if s == 200]
    assert answered and max(answered) > 15.0
    assert max(answered) + w.lease_s < w.cancel_s
    assert worker.running() == ["req-000001/0"]


def test_all_controllers_restart_and_nothing_is_lost():
    w = quiet(nodes=3)
    w.submit("n0", w.job(1, parts=4))
    w.step()
    w.step()
    before = running(w)
    for name in list(w.nodes):
        w.boot(name)
    for _ in range(12):
        w.step()
    assert running(w) == before
    for task_id in before:
        w.finish(task_id)
    w.step()
    w.step()
    assert w.query("n2", "req-000001") == "done"


def test_a_large_array_goes_into_small_values_and_comes_back_whole():
    w = quiet(machines=4, value_kb=0.6)
    w.submit("n0", w.job(1, parts=500, cpus=0.1, mem_gb=0.1))
    for _ in range(8):
        w.step()
    assert len(running(w)) > 30
    for task_id in running(w)[::2]:
        w.finish(task_id)
    for _ in range(4):
        w.step()
    assert max(w.state.sizes) <= 0.6 * 1024
    w.boot("n0")
    for _ in range(10):
        w.step()
    job = w.nodes["n0"].scheduler.state.jobs["req-000001"]
    assert len(job.done) >= 15 and len(job.open) > 30


def test_together_apart_zone_kind_and_type_are_honoured():
    w = World(1)
    for zone in ("north", "south"):
        for spot in (True, False):
            w.machine("small", zone, spot)
            w.machine("small", zone, spot)
    for _ in range(3):
        w.step()
    w.submit("n0", w.job(1, parts=8, together=True, crew="blue"))  # the world checks each start
    w.submit("n0", w.job(2, parts=5, apart=True, crew="red"))
    w.submit("n0", w.job(3, parts=1, loaners=False, yard="south", crew="red"))
    for _ in range(6):
        w.step()
    assert len(running(w)) == 14


def test_urgent_work_pushes_out_sweeps_but_not_equals():
    w = quiet(machines=2)
    w.capacity = 0
    w.submit("n0", w.job(1, parts=8))
    w.step()
    w.step()
    assert len(running(w)) == 8
    w.submit("n0", w.job(2, parts=2, crew="blue", rank="urgent"))
    for _ in range(5):
        w.step()
    assert sum(p.startswith("req-000002") for p in running(w)) == 2
    w.submit("n0", w.job(3, parts=2, crew="blue", rank="urgent"))
    for _ in range(5):
        w.step()
    urgent = [p for p in running(w) if p.startswith("req-000003")]
    assert len(urgent) == 2 and sum(p.startswith("req-000002") for p in running(w)) == 2


def test_a_machine_that_fails_several_jobs_is_quarantined_and_returned():
    w = quiet(machines=2)
    sick = next(iter(w.workers.values()))
    sick.fails = True
    for n in range(1, 5):
        w.submit("n0", w.job(n, parts=2))
    for _ in range(12):
        w.step(1.0)
        w.fleet("n0")
    assert sick.name in w.deleted
    assert sum(name in w.deleted for name in ("vm-000001", "vm-000002")) == 1


def test_a_job_that_fails_everywhere_is_the_jobs_fault_and_backs_off():
    w = quiet(machines=5)
    for worker in w.workers.values():
        worker.fails = True
    w.submit("n0", w.job(1, parts=1))
    for _ in range(20):
        w.step(1.0)
        w.fleet("n0")
    job = w.nodes["n0"].scheduler.state.jobs["req-000001"]
    assert 3 <= job.errors <= 8
    assert job.not_before > w.clock.now
    assert not any(m.quarantined for m in w.nodes["n0"].scheduler.state.machines.values())


def test_a_job_that_no_worker_knows_does_not_keep_room_from_others():
    """Its submission was executed, the answer lost, and its user gave up."""
    w = quiet(machines=1)
    w.capacity = 0
    w.state.lose_answer.add("n0")
    assert w.submit("n0", w.job(1, parts=4)) == 503
    assert w.submit("n0", w.job(2, parts=5)) == 201
    tries = 0
    for _ in range(60):
        wait(w, 1.0)
        tries += any(
            a.task_id.startswith("req-000001") for worker in w.workers.values() for a in worker.tasks.values()
        )
        for task_id in running(w)[:1]:
            w.finish(task_id)
    assert w.query("n0", "req-000002") == "done"
    assert 2 <= tries <= 12, "it is tried, more and more seldom"


def test_an_array_that_fails_on_some_machines_and_runs_on_others_is_not_at_fault():
    w = quiet(machines=4)
    w.submit("n0", w.job(1, crew="blue", parts=40, guess_s=60.0))
    wait(w, 8.0, fleet=False)
    sick = sorted(w.workers)[:3]
    for name in sick:
        worker = w.workers[name]
        worker.fails = True
        worker.finish(worker.running()[0], "error")
    wait(w, 4.0)
    job = w.nodes["n0"].scheduler.state.jobs["req-000001"]
    assert job.errors >= 3 and job.backoff_count == 0
    for name in sick:
        if name in w.workers and w.workers[name].running():
            w.workers[name].finish(w.workers[name].running()[0], "error")
    wait(w, 6.0)
    assert set(sick) <= set(w.deleted), "twice is enough, as it runs elsewhere"


def test_a_job_prefers_room_where_its_image_is_while_others_can_use_the_rest():
    w = quiet(machines=4)  # 16 CPUs
    scheduler = w.nodes["n0"].scheduler
    w.submit("n0", w.job(1, crew="blue", parts=8, bundle="img-a", guess_s=10.0))
    wait(w, 1.0, fleet=False)
    assert len({p.machine for p in scheduler.state.jobs["req-000001"].open.values()}) == 2
    w.submit("n0", w.job(2, crew="red", parts=8, bundle="img-b", guess_s=10.0))
    wait(w, 3.0, fleet=False)
    assert len(running(w)) == 16
    # Room comes back where img-a is. The smaller job would go first, but would have to fetch its image there.
    w.submit("n0", w.job(3, crew="blue", parts=4, bundle="img-b", guess_s=10.0))
    w.submit("n0", w.job(4, crew="blue", parts=8, bundle="img-a", guess_s=10.0))
    scheduler.state.images_at = NEVER
    for task_id in [p for p in running(w) if p.startswith("req-000001/")]:
        w.finish(task_id)
    wait(w, 3.0, fleet=False)
    assert len(scheduler.state.jobs["req-000004"].open) == 8 and not scheduler.state.jobs["req-000003"].open
    for task_id in [p for p in running(w) if p.startswith("req-000002/")]:
        w.finish(task_id)
    wait(w, 3.0, fleet=False)
    assert len(scheduler.state.jobs["req-000003"].open) == 4


def test_the_snapshot_of_a_machines_images_forgets_those_used_longest_ago():
    w = quiet(machines=1)
    scheduler = w.nodes["n0"].scheduler
    scheduler.state.types = [msgspec.structs.replace(kind, cache_gb=2.5) for kind in scheduler.types]
    for number, image in enumerate(["img-a", "img-b", "img-a", "img-c"], 1):
        w.submit("n0", w.job(number, parts=1, bundle=image, size_gb=1.0))
        wait(w, 2.0, fleet=False)
        w.finish(f"req-{number:06d}/0")
        wait(w, 1.0, fleet=False)
    machine = next(iter(scheduler.state.machines.values()))
    assert [scheduler.state.images[i] for i in machine.images] == ["img-a", "img-c"]


def test_a_refusal_for_lack_of_room_tries_elsewhere():
    w = quiet(machines=2)
    full = next(iter(w.workers.values()))
    full.fails, full.sick_with = True, "full"
    w.submit("n0", w.job(1, parts=4))
    for _ in range(8):
        w.step()
    assert len(running(w)) == 4
    assert w.nodes["n0"].scheduler.state.refusals > 0


def test_machines_are_launched_for_waiting_work_and_idle_ones_return_empty():
    w = quiet(machines=0)
    w.submit("n0", w.job(1, parts=8))
    w.step()
    w.fleet("n0")
    assert len(w.workers) == 2 and all(worker.spot for worker in w.workers.values())
    for _ in range(4):
        w.step()
    parts = running(w)
    assert len(parts) == 8
    for task_id in parts:
        w.finish(task_id)
    for _ in range(200):
        w.step(1.0)
        w.fleet("n0")
    assert not w.workers


def test_a_rental_name_is_never_used_twice_even_by_another_incarnation():
    w = quiet(machines=0)
    w.submit("n0", w.job(1, parts=4))
    w.step()
    w.fleet("n0")
    first = set(w.requests)
    for worker in list(w.workers):
        w.workers.pop(worker)
    w.boot("n0")
    for _ in range(12):
        w.step()
    w.fleet("n0")
    assert len(w.requests) > len(first)


def test_a_spot_notice_stops_new_work_and_returns_the_machine():
    w = quiet(machines=1)
    worker = next(iter(w.workers.values()))
    w.submit("n0", w.job(1, parts=1, guess_s=200.0))
    w.step()
    w.step()
    worker.reclaim_notice_s = 20.0
    w.capacity = 0
    for _ in range(4):
        w.step()
        w.fleet("n0")
    assert worker.name in w.deleted


@pytest.mark.parametrize(("seed", "upgrade"), [(s, False) for s in range(6)] + [(s, True) for s in range(8)])
def test_a_random_story_keeps_the_rules(seed, upgrade):  # noqa: C901 (a list of events)
    """Crashes, cuts, lost answers, outages and users in a seeded order; the world checks every rule.

    With `upgrade`, all controllers are old at first, each comes back new at some moment, the limits fall
    after that, and a third of the jobs are services.
    """
    coming = "value_kb = 0.45\ntxn_ops = 3" if upgrade else ""
    w = World(3, seed=seed, value_kb=1.0, coming=coming, old=["n0", "n1", "n2"] if upgrade else [])
    for n in range(6):
        w.machine("small", "north" if n % 2 else "south", spot=n % 3 > 0)
    rng = w.rng
    number = 0
    services = []
    for failover_delay_s in range(400):
        event = rng.random()
        if upgrade and failover_delay_s in (60, 110, 170):
            w.old.discard(f"n{failover_delay_s % 3}" if failover_delay_s != 170 else sorted(w.old)[0])
            for name in w.nodes:
                if name not in w.old and w.nodes[name].release == 1:
                    w.boot(name)
        if upgrade and failover_delay_s == 230:
            assert not w.old
            w.state.value_bytes, w.state.txn_ops = 460, 3
        names = list(w.nodes)
        node = rng.choice(names)
        if event < 0.10 and number < 30:
            number += 1
            body = w.job(
                number,
                parts=rng.randint(1, 6),
                crew=rng.choice(["red", "blue"]),
                rank=rng.choice(["idle", "normal", "urgent"]),
                together=rng.random() < 0.2,
                loaners=rng.random() < 0.8,
            )
            if upgrade and number % 3 == 0:
                body = w.daemon(
                    number,
                    parts=rng.randint(1, 3),
                    crew=rng.choice(["red", "blue"]),
                    rank=rng.choice(["normal", "critical"]),
                    loaners=rng.random() < 0.5,
                    apart=rng.random() < 0.2,
                )
                services.append(f"req-{number:06d}")
            w.submit(node, body)
        elif event < 0.14 and w.accepted:
            w.cancel(node, rng.choice(sorted(w.accepted)))
        elif event < 0.20:
            w.boot(node)
        elif event < 0.24:
            w.state.lose_answer.add(node)
        elif event < 0.28:
            w.state.hold.add(node)
        elif event < 0.32:
            w.state.release()
        elif event < 0.34:
            w.state.down = not w.state.down
        elif event < 0.37:
            w.state.refuses ^= {node}
        elif event < 0.42 and w.workers:
            w.cut ^= {(rng.choice(sorted(w.workers)), node)}
        elif event < 0.44:
            w.deletes_lost = not w.deletes_lost
        elif event < 0.46 and w.late_deletes:
            w.execute_delete(w.late_deletes.pop())
        elif event < 0.60:
            parts = running(w)
            if parts:
                w.finish(rng.choice(parts))
        elif event < 0.70 and w.workers:
            worker = w.workers[rng.choice(sorted(w.workers))]
            worker.check_lease()
            w.heartbeat(worker, node)
        elif event < 0.72 and w.workers:
            worker = w.workers[rng.choice(sorted(w.workers))]
            worker.deaf = not worker.deaf and rng.random() < 0.3
        elif event < 0.75:
            w.fleet(node)
        elif event < 0.77 and w.sent:
            w.replay(rng.choice(w.sent), node)
        elif event < 0.78:
            w.state.lost ^= {node}
            w.mesh_cut ^= {node}
        elif event < 0.79:
            w.boot(node)  # and again within the same instant, perhaps amid an election
            w.boot(rng.choice(names))
        elif event < 0.80:
            w.frozen ^= {node}
        elif event < 0.81 and w.workers:
            # Many at once: they fall silent together, and come back together or not at all.
            many = rng.sample(sorted(w.workers), (len(w.workers) + 1) // 2)
            if rng.random() < 0.5:
                w.cut |= {(name, other) for name in many for other in names}
            else:
                for name in many[: len(many) // 2]:
                    w.workers.pop(name)
                w.cut.clear()
        elif event < 0.83 and w.accepted:
            w.query(node, rng.choice(sorted(w.accepted)))
        else:
            w.step(rng.choice([0.2, 0.5, 1.0, 3.0]))
            for worker in list(w.workers.values()):
                if rng.random() < 0.3:
                    w.wander(worker)
        w.check()
    w.state.down = False
    w.state.lost.clear()
    w.mesh_cut.clear()
    w.frozen.clear()
    for worker in w.workers.values():
        worker.deaf = False
    w.state.refuses.clear()
    w.state.release()
    w.cut.clear()
    w.deletes_lost = False
    for _ in range(10):
        w.step(1.0)
    for name in w.nodes:
        for job_id in sorted(w.accepted):
            assert w.query(name, job_id) is not None, f"{job_id} is not answered 10 s after all troubles"
    for _ in range(250):
        w.step(1.0)
        for name in list(w.nodes):
            w.fleet(name)
        for task_id in running(w):
            if task_id.split("/")[0] not in services:
                w.finish(task_id)
    # A cancellation may have been executed although its user got no answer.
    stand = sorted(j for j in services if j in w.accepted and w.query("n0", j) != "aborted")
    for job_id in sorted(w.accepted - {*stand}):
        assert w.query("n0", job_id) in ("done", "aborted"), f"{job_id} never ended"
    # What stands gets what its teams' limits of 8 and 16 CPUs allow, and never more or twice.
    used = {team: sum(w.specs[j].tasks for j in stand if w.specs[j].team == team) for team in ("red", "blue")}
    up = [p for p in running(w) if p.split("/")[0] in stand]
    assert len(up) == len(set(up)) == min(8, used["red"]) + min(16, used["blue"]), f"{up} of {stand}"
    for job_id in stand:
        assert w.cancel("n0", job_id) == "aborted"
    for _ in range(10):
        w.step(1.0)
    assert not running(w)


def test_a_gang_is_placed_whole_or_not_at_all_and_comes_back_whole():
    w = quiet(machines=2)
    w.capacity = 0
    w.submit("n0", w.job(1, parts=6, crew="blue"))
    w.step()
    w.step()
    w.submit("n0", w.job(2, shape="gang", parts=4, crew="red"))
    for _ in range(3):
        w.step()
    assert not any(p.startswith("req-000002") for p in running(w)), "two of four would fit"
    for task_id in running(w):
        w.finish(task_id)
    for _ in range(4):
        w.step()
    assert len(running(w)) == 4
    attempts = {a.number for worker in w.workers.values() for a in worker.tasks.values()}
    assert len(attempts) == 1
    for worker in w.workers.values():
        if "req-000002/1" in worker.running():
            worker.finish("req-000002/1", "error")
    for _ in range(14):
        w.step()
    assert len(running(w)) == 4
    assert w.nodes["n0"].submit(w.job(3, shape="gang", parts=9))[0] == 422, "more than the team's limit"


def test_a_service_runs_until_it_is_cancelled():
    w = quiet()
    w.submit("n0", w.job(1, shape="daemon"))
    w.step()
    w.step()
    w.finish("req-000001/0")
    for _ in range(6):
        w.step()
    assert len(running(w)) == 2, "a replica that ends is started again"
    assert w.query("n0", "req-000001") == "running"
    assert w.cancel("n0", "req-000001") == "aborted"
    w.step()
    assert running(w) == []


def test_the_balancer_frees_room_that_a_waiting_task_needs():
    """A zone's machine is full of work that may run anywhere and saves; a task that may not, waits."""
    w = World(1)
    w.capacity = 0
    w.machine("small", "north")
    for _ in range(3):
        w.step()
    w.submit("n0", w.job(1, parts=2, cpus=2.0, crew="blue", bookmark_s=5.0, stash_s=1.0))
    w.step()
    w.step()
    w.machine("small", "south")
    w.step()
    w.submit("n0", w.job(2, parts=1, cpus=2.0, yard="north", crew="red"))
    for _ in range(8):
        w.step()
    assert w.nodes["n0"].scheduler.state.moves == 1, "one task moved, and no other for it"
    north, south = w.workers.values()
    assert "req-000002/0" in north.running()
    assert len(south.running()) == 1 and south.running()[0].startswith("req-000001/")


def test_where_there_is_no_aim_the_longest_tasks_go_first():
    w = quiet(machines=1)
    scheduler = w.nodes["n0"].scheduler
    for number, guess in enumerate([5.0, 90.0, 30.0], 1):
        w.submit("n0", w.job(number, parts=5, guess_s=guess))  # more than the guarantee, so borrowed
    wait(w, 2.0, fleet=False)
    assert {p.split("/")[0] for p in running(w)} == {"req-000002"}
    scheduler.state.objectives.completion_targets_s = {"sweep": 60.0}
    for task_id in running(w):
        w.finish(task_id)
    wait(w, 2.0, fleet=False)
    assert {p.split("/")[0] for p in running(w)} == {"req-000001"}, (
        "with an aim the least work left goes first"
    )


def test_a_job_within_its_teams_guarantee_goes_before_the_rest_of_a_team_that_uses_less_than_its_own():
    w = quiet(machines=1)
    w.submit("n0", w.job(1, crew="blue", parts=4, guess_s=50.0))
    wait(w, 2.0, fleet=False)
    assert len(running(w)) == 4
    # Together with the unfinished one the next job of blue is beyond 4 CPUs, though less work is left in it.
    w.submit("n0", w.job(2, crew="blue", parts=1, guess_s=1.0))
    w.submit("n0", w.job(3, crew="red", parts=4, guess_s=60.0))
    assert w.nodes["n0"].scheduler.scheduling.queue.jobs_within_guarantee() == {"req-000001", "req-000003"}
    w.finish("req-000001/0")
    wait(w, 2.0, fleet=False)
    assert "req-000003/0" in running(w) and "req-000002/0" not in running(w)


def test_room_that_is_given_back_in_a_moment_is_not_made_by_stops():
    w = quiet(machines=2)  # 8 CPUs
    w.submit("n0", w.job(1, parts=8, crew="blue", guess_s=1.6))  # two CPUs given back in 0.4 s
    wait(w, 2.0, fleet=False)
    assert len(running(w)) == 8
    w.submit("n0", w.job(2, parts=2, crew="blue", rank="urgent"))
    w.step_node("n0")
    scheduler = w.nodes["n0"].scheduler
    assert not scheduler.state.stopping
    w.finish("req-000001/0")
    w.finish("req-000001/1")
    wait(w, 1.0, fleet=False)
    assert [p for p in running(w) if p.startswith("req-000002/")] == ["req-000002/0", "req-000002/1"]
    w.submit("n0", w.job(3, parts=1, crew="blue", rank="urgent"))
    wait(w, 3.5, fleet=False)  # but when nothing comes back, room is made
    assert "req-000003/0" in running(w)


def test_equals_of_two_teams_do_not_stop_one_another_in_turn():
    """Each team once counted as within its guarantee while the other's stops were still under way."""
    w = quiet(machines=2)
    w.capacity = 0
    for n in (1, 2):
        w.submit("n0", w.job(n, parts=8, rank="urgent", crew="red" if n == 1 else "blue"))
    stopped = 0
    for _ in range(60):
        w.step(1.0)
        stopped += sum(
            p.stopping for m in w.nodes["n0"].scheduler.state.machines.values() for p in m.open.values()
        )
    assert stopped == 0
    assert len(running(w)) == 8


def test_room_made_for_a_job_is_kept_for_it():
    """Two stops free two CPUs on one machine; smaller waiting tasks must not take the first of them."""
    w = quiet(machines=1)
    w.capacity = 0
    w.submit("n0", w.job(1, parts=8))
    w.step()
    w.step()
    w.submit("n0", w.job(2, parts=1, cpus=2.0, crew="blue", rank="urgent"))
    node = w.nodes["n0"]
    node.watch_cache.pull(0.0)
    node.scheduler.round()
    worker = next(iter(w.workers.values()))
    first, second = (
        key for key, p in next(iter(node.scheduler.state.machines.values())).open.items() if p.stopping
    )
    worker.finish(first[0], "halted")
    w.heartbeat(worker)
    w.step_node("n0")
    worker.finish(second[0], "halted")
    w.step()
    w.step()
    assert "req-000002/0" in worker.running()


def test_a_new_leader_knows_the_images_from_the_summary_of_the_one_before():
    w = quiet(machines=30, nodes=2, value_kb=0.5)
    leader = w.leader()
    w.submit(leader, w.job(1, parts=1))
    w.step()
    w.step()
    w.finish("req-000001/0")
    w.step()
    have = [m.name for m in w.nodes[leader].scheduler.state.machines.values() if any(m.images.values())]
    assert len(have) == 1
    w.nodes[leader].summary_writer.step()
    assert max(w.state.sizes) <= 512
    del w.nodes[leader]
    for _ in range(12):
        w.step()
    new = w.nodes[w.leader()].scheduler
    assert [m.name for m in new.state.machines.values() if any(m.images.values())] == have


def test_a_node_that_alone_is_refused_by_the_state_sends_users_elsewhere():
    w = quiet(nodes=2)
    assert w.nodes["n1"].healthy()
    w.state.refuses.add("n1")
    w.nodes["n1"].peers.asks = {"n0": lambda timeout_s: w.nodes["n0"].status()}
    for _ in range(5):
        w.step(1.0)
        w.nodes["n1"].peer_poller.step()
    assert w.nodes["n0"].healthy() and not w.nodes["n1"].healthy()
    w.state.refuses.add("n0")
    for _ in range(9):
        w.step(1.0)
        w.nodes["n1"].peer_poller.step()
    assert w.nodes["n1"].healthy(), "an outage for all: every node stays up and tells users to come back"


def test_the_watches_of_all_controllers_leave_most_requests_to_others():
    w = quiet(nodes=3)
    rps = w.nodes["n0"].settings.facts.state.rps
    pauses = [node.watch_step() for node in w.nodes.values()]
    assert sum(1.0 / pause for pause in pauses) <= 0.35 * rps, "even if each change ends each watch"


def test_a_question_waits_for_no_write_and_no_other_job(monkeypatch):
    """Whatever the group commit has to do, or can't do, a question needs one shared read alone."""
    w = quiet(machines=2)
    node = w.nodes["n0"]
    for number in range(1, 6):
        w.submit("n0", w.job(number, parts=300))

    def refused(store, conditions, puts):
        raise UnavailableError("429", refused=True)

    monkeypatch.setattr(CountingStore, "compare_and_swap", refused)  # that of every part
    node.commit_loop.writes.drain()
    for _ in range(4):
        w.pass_time(0.5)
        w.step_node("n0")
    assert node.scheduler.has_pending_writes()
    for number in range(1, 6):
        assert w.query("n0", f"req-{number:06d}") is not None
    assert node.submit(w.job(9))[0] == 503, "answered at once, with when to come back"


def test_calls_to_the_cloud_keep_within_their_rate():
    w = quiet(machines=0)
    node = w.nodes["n0"]
    began = w.clock.now
    for _ in range(30):
        node.cloud_operations.pace()
    assert 30 / (w.clock.now - began) < 3.0 * 1.3


@pytest.mark.parametrize("key", ["b/j/req-000001", "b/log/0"])
def test_what_can_not_be_read_is_503_and_never_an_absent_job(key, caplog):
    w = quiet(machines=4)
    w.submit("n0", w.job(1, parts=4))
    for _ in range(3):
        w.step()
    whole = dict(w.state.rows)
    w.state.rows[key] = ("!!", whole[key][1], None)
    node = w.boot("n0")
    for _ in range(10):
        w.pass_time(1.0)
        w.state.expire()
        w.step_node("n0")
    assert node.query("req-000001")[0] == 503
    assert node.submit(w.job(1, parts=4))[0] == 503
    assert node.cancel("req-000001")[0] == 503
    assert not node.scheduler.complete, "no owner starts anything before its view is whole"
    assert any(record.levelname == "ERROR" and key in record.message for record in caplog.records)
    w.state.rows = whole
    w.boot("n0")
    for _ in range(10):
        w.step()
    assert w.query("n0", "req-000001") == "running"


def test_a_job_that_comes_while_a_new_leader_reads_the_records_is_not_overlooked(monkeypatch):
    w = quiet()
    recover = JobRecords.recover

    def slow(scheduler, recovered):
        # Seen by the watch cache when there is no leader yet to be told.
        assert w.submit("n0", w.job(1)) == 201
        recover(scheduler, recovered)

    monkeypatch.setattr(JobRecords, "recover", slow)
    w.boot("n0")  # its old incarnation is gone from the leadership record at once, so it takes over here
    for _ in range(3):
        w.step()
    assert running(w) == ["req-000001/0", "req-000001/1"]


def test_a_deposed_leader_that_has_seen_the_new_leadership_record_does_not_write_under_its_stamp():
    w, old_name, other = deposed_with_work()
    old = w.nodes[old_name]
    old.watch_cache.pull(
        0.0
    )  # the leadership record is seen; the thread that makes the scheduler follow it has not run yet
    assert old.scheduler.leader and not old.membership.is_leader()
    before = task_log_rows(w)
    worker = next(iter(w.workers.values()))
    w.heartbeat(worker, old_name)
    old.commit_loop.commit_once()
    assert task_log_rows(w) == before
    assert worker.running() == []
    for _ in range(3):
        w.step()
    assert len(running(w)) == 4


def test_an_answer_to_a_write_of_an_earlier_term_says_nothing_of_this_one():
    """The same process loses the leadership record and wins it again while a transaction is on its way."""
    w = quiet(nodes=1)
    node = decided(w, parts=4)
    batch = node.scheduler.take_batch(12)
    assert batch is not None
    assert node.membership.acquire_leadership("n0")
    w.step_node("n0")  # adopted again, under the new leadership record
    assert node.scheduler.term == node.membership.record.version != batch.term
    for _ in range(2):
        w.step()  # the workers have heard the new token
    w.submit("n0", w.job(2, crew="blue"))
    node.watch_cache.pull(0.0)
    node.scheduler.round()
    in_flight = node.scheduler.take_batch(12)
    assert in_flight is not None
    node.scheduler.committed(batch)
    assert not any(p.durable for p in [*batch.placements, *in_flight.placements])
    assert in_flight.placements
    assert node.scheduler.state.in_flight is in_flight, (
        "what this term has on its way is not answered by that"
    )
    node.scheduler.not_committed(in_flight)
    for _ in range(3):
        w.step()
    assert len(running(w)) == 6


def test_rows_that_a_relay_left_behind_are_no_news_to_a_later_leader():
    w = quiet(machines=1, nodes=2)
    leader = w.leader()
    other = next(n for n in w.nodes if n != leader)
    worker = next(iter(w.workers.values()))
    w.cut.add((worker.name, leader))
    for _ in range(3):
        w.step(1.0)
        w.heartbeat(worker, other)
    assert any(k.startswith(records.RELAYS) for k in w.state.rows)
    del w.workers[worker.name]
    for name in list(w.nodes):
        del w.nodes[name]
    w.pass_time(60.0)
    w.boot("n0")
    for _ in range(4):
        w.step()
    assert not any(m.registered for m in w.nodes["n0"].scheduler.state.machines.values())


# -- the users' addition: deaf machines, late copies, a controller cut off, quick returns, no starvation ---


def wait(w: World, seconds: float, fleet: bool = True, wander: bool = True) -> None:
    """Time passes in half seconds; workers find their own way, finished tasks are not the story's matter."""
    for _ in range(int(seconds * 2)):
        w.pass_time(0.5)
        w.state.expire()
        for name in list(w.nodes):
            w.step_node(name)
        for worker in list(w.workers.values()):
            if wander:
                w.wander(worker)
        for name in list(w.nodes):
            w.step_node(name)
            if fleet:
                w.fleet(name)
        w.check()


def test_a_machine_that_hears_nothing_is_replaced_and_its_work_runs_elsewhere():
    w = quiet(machines=1)
    deaf = next(iter(w.workers.values()))
    deaf.deaf = True
    w.submit("n0", w.job(1))
    wait(w, 8.0)
    assert deaf.name in w.deleted, "starts that never show give it away, long before a lease is out"
    assert running(w) == ["req-000001/0", "req-000001/1"]


def test_a_unresponsive_machine_with_running_tasks_loses_them_and_no_more():
    w = quiet(machines=1)
    deaf = next(iter(w.workers.values()))
    w.submit("n0", w.job(1, parts=4))
    wait(w, 3.0, fleet=False)
    assert len(running(w)) == 4
    deaf.deaf = True
    wait(w, 40.0)
    assert deaf.name in w.deleted
    assert len(running(w)) == 4


def test_an_idle_unresponsive_machine_is_found_by_its_leases():
    w = quiet(machines=1)
    deaf = next(iter(w.workers.values()))
    deaf.deaf = True
    wait(w, 26.0, fleet=False)
    machine = next(iter(w.nodes["n0"].scheduler.state.machines.values()))
    assert deaf.epoch == 3 and machine.quarantined, "two leases ran out although it was answered"


def test_a_machine_that_never_says_our_token_gets_no_work():
    """After a failover: heard, perhaps only by copies, but nothing shows that it hears us."""
    w = quiet(machines=1)
    worker = next(iter(w.workers.values()))
    worker.deaf = True
    w.boot("n0")
    for _ in range(4):
        w.step()
    w.submit("n0", w.job(1))
    for _ in range(4):
        w.step()
    node = w.nodes["n0"]
    assert any(m.registered for m in node.scheduler.state.machines.values())
    assert not node.scheduler.state.jobs["req-000001"].open
    worker.deaf = False
    for _ in range(3):
        w.step()
    assert len(running(w)) == 2


def test_a_cancelled_task_on_a_unresponsive_machine_is_gone_in_time():
    w = quiet(machines=2)
    w.submit("n0", w.job(1, parts=8))
    wait(w, 3.0, fleet=False)
    for worker in w.workers.values():
        worker.deaf = True
    w.cancel("n0", "req-000001")
    wait(w, w.cancel_s)  # the world watches the bound
    assert running(w) == []


def test_when_many_fall_silent_together_they_get_more_time_than_one_alone():
    w = quiet(machines=8)
    w.submit("n0", w.job(1, crew="blue", parts=16, guess_s=200.0))
    wait(w, 3.0)
    before = running(w)
    cut = sorted(w.workers)[:4]
    w.cut |= {(name, "n0") for name in cut}
    wait(w, 20.0)
    assert w.deleted == [], "a cut, most likely"
    w.cut.clear()
    wait(w, 5.0)
    assert len(running(w)) == 16 and before
    w.cut.add((cut[0], "n0"))
    wait(w, 20.0)
    assert w.deleted == [cut[0]]


def test_when_many_seem_unresponsive_the_fault_is_ours_and_none_is_replaced():
    w = quiet(machines=8)
    for worker in w.workers.values():
        worker.deaf = True
    w.submit("n0", w.job(1, crew="blue", parts=16))
    wait(w, 6.0)
    assert w.deleted == []


def test_copies_of_old_heartbeats_revive_no_machine_after_a_failover():
    w = quiet(machines=1)
    worker = next(iter(w.workers.values()))
    copies = [worker.heartbeat() for _ in range(3)]
    w.execute_delete([worker.name])
    w.boot("n0")
    wait(w, 1.0, fleet=False)
    w.submit("n0", w.job(1))
    for copy in copies:
        w.replay(copy, "n0")
        wait(w, 0.5, fleet=False)
    assert w.nodes["n0"].scheduler.state.machines, "it was heard of"
    assert not w.nodes["n0"].scheduler.state.jobs["req-000001"].open, "and got nothing"


def test_a_copy_neither_closes_nor_opens_anything_nor_counts_as_a_second_failure():
    w = quiet(machines=1)
    worker = next(iter(w.workers.values()))
    w.submit("n0", w.job(1, parts=1))
    before = worker.heartbeat()
    for _ in range(3):
        w.step()
    assert running(w) == ["req-000001/0"]
    scheduler = w.nodes["n0"].scheduler
    placement = scheduler.state.jobs["req-000001"].open[0]
    w.replay(before, "n0")  # sent when the task was not there yet
    w.step()
    assert scheduler.state.jobs["req-000001"].open[0] is placement
    worker.finish("req-000001/0", "error")
    failed = worker.heartbeat()
    w.step()
    job = scheduler.state.jobs["req-000001"]
    assert job.errors == 1
    for _ in range(3):
        w.replay(failed, "n0")
    assert job.errors == 1
    w.cancel("n0", "req-000001")
    w.replay(before, "n0")
    w.step()


def test_a_copy_is_no_proof_that_a_cancelled_start_is_absent():
    w = quiet(machines=1, nodes=2)
    leader = w.leader()
    worker = next(iter(w.workers.values()))
    empty = worker.heartbeat()
    decided(w, leader, parts=1).commit_loop.commit_once()  # committed; the start is still to go out
    w.cancel(leader, "req-000001")
    w.boot(leader)  # and the next leader has not heard the machine yet
    for _ in range(10):
        w.pass_time(0.5)
        w.state.expire()
        for name in list(w.nodes):
            w.step_node(name)
    scheduler = w.nodes[w.leader()].scheduler
    assert scheduler.state.jobs["req-000001"].open
    w.replay(empty, w.leader())
    assert scheduler.state.jobs["req-000001"].open, "a copy proves nothing"
    for _ in range(3):
        w.step()
    assert "req-000001" not in scheduler.state.jobs


def test_a_copy_moves_no_worker_between_leader_and_relay():
    w = quiet(machines=1, nodes=2)
    leader = w.leader()
    other = next(n for n in w.nodes if n != leader)
    worker = next(iter(w.workers.values()))
    copy = worker.heartbeat()
    assert w.heartbeat(worker, other) in (200, 421)
    wait(w, 15.0, fleet=False)
    relay = w.nodes[other].relay
    before = dict(relay._relayed_until), dict(relay._heartbeats)
    for _ in range(3):
        w.pass_time(2.0)
        w.replay(copy, other)
    assert (relay._relayed_until, relay._heartbeats) == before
    machine = next(iter(w.nodes[leader].scheduler.state.machines.values()))
    assert machine.relay == ""


def test_workers_of_an_leader_that_is_cut_off_reach_one_that_can_act_with_their_tasks():
    w = quiet(machines=3, nodes=3)
    leader = w.leader()
    w.submit(leader, w.job(1, crew="blue", parts=12))
    wait(w, 3.0)
    assert len(running(w)) == 12
    epochs = [worker.epoch for worker in w.workers.values()]
    w.state.lost.add(leader)
    w.mesh_cut.add(leader)
    wait(w, 14.0)
    assert w.leader() is not None and any(n.scheduler.leader for k, n in w.nodes.items() if k != leader)
    assert [worker.epoch for worker in w.workers.values()] == epochs, "no lease ran out"
    assert len(running(w)) == 12
    assert not w.nodes[leader].healthy(), "its users go elsewhere"
    w.cancel(next(n for n in w.nodes if n != leader), "req-000001")
    wait(w, 10.0)
    assert running(w) == []


def test_in_an_outage_for_all_nobody_takes_itself_for_cut_off():
    w = quiet(machines=1, nodes=2)
    w.state.down = True
    wait(w, 20.0, fleet=False)
    assert all(not node.connectivity.is_isolated() and node.healthy() for node in w.nodes.values())
    assert all(worker.epoch == 1 for worker in w.workers.values())


def test_a_late_write_of_the_old_incarnation_does_not_pass_for_the_new_one():
    w = quiet(nodes=1)
    w.state.hold.add("n0")
    w.boot("n0")  # its membership is on its way when it ends
    assert w.state.held
    node = w.boot("n0")
    wait(w, 1.0)
    assert node.scheduler.leader
    fencing_token = node.membership.record.fencing_token
    w.state.release()
    assert w.state.rows[records.MEMBERS + "n0"][0] == node.incarnation
    wait(w, 8.0)  # longer than the old lease
    assert node.scheduler.leader and node.membership.record.fencing_token == fencing_token


def test_a_large_idle_array_gets_its_turn_under_a_full_fleet_and_a_burst_of_small_urgent_jobs():
    """The bound: every `turn_s`, and the time until room is given back, `turn_share` of its tasks start."""
    w = quiet(machines=2)  # 8 CPUs, all that there ever is
    w.capacity = 0
    policy = w.nodes["n0"].scheduler.policy
    w.submit("n0", w.job(1, crew="red", parts=100, rank="idle", guess_s=10.0))
    number = 1
    began: dict[str, float] = {}
    for _ in range(240):
        while sum(len(j.waiting) for j in w.nodes["n0"].scheduler.state.jobs.values()) < 60:
            number += 1
            w.submit("n0", w.job(number, crew="blue", parts=4, rank="urgent", guess_s=10.0))
        wait(w, 2.0, fleet=False)
        for task_id in running(w):
            began.setdefault(task_id, w.clock.now)
            if w.clock.now - began[task_id] >= 10.0:
                w.finish(task_id)
    names_process = sorted(at - 1000.0 for task_id, at in began.items() if task_id.startswith("req-000001/"))
    assert names_process[0] <= policy.turn_s + 20.0
    turns = int(480 / (policy.turn_s + 20.0))
    assert len(names_process) >= turns * 2, "2 of 100 tasks a turn"
    done = [task_id for task_id in w.done_tasks if task_id.startswith("req-000001/")]
    assert len(done) >= len(names_process) - 2, "nobody pushed them out"


def stands_still(nodes: int = 3, seconds: float = 60.0) -> tuple[World, str]:
    """A world with work running whose leader stands still for a while."""
    w = quiet(machines=4, nodes=nodes)
    w.submit("n0", w.job(1, crew="blue", parts=16, guess_s=500.0))
    wait(w, 3.0, fleet=False)
    assert len(running(w)) == 16
    old = w.leader()
    w.frozen.add(old)
    for _ in range(int(seconds * 2)):
        w.step(0.5)
        for worker in w.workers.values():
            w.wander(worker)
    w.frozen.clear()
    assert w.nodes[old].scheduler.leader, "it goes on with the view that it had"
    return w, old


@pytest.mark.parametrize("seconds", [20.0, 60.0])  # within the bound for outages, and beyond it
def test_an_leader_that_stood_still_judges_and_commands_nothing_on_its_old_view(seconds):
    """Whichever of its threads goes on first. One deleted the fleet, silent for a minute as it seemed."""
    for first in ("fleet", "delete", "rent", "command", "report"):
        w, old = stands_still(seconds=seconds)
        assert [n for n in w.nodes if n != old and w.nodes[n].scheduler.leader], "another has taken over"
        assert len(running(w)) == 16
        node = w.nodes[old]
        launched_at, sent = w.launched_at, []
        node.stop_commands.send = lambda address, body, sent=sent: sent.append(address)
        worker = next(iter(w.workers.values()))
        if first == "fleet":
            w.fleet(old)
        elif first == "delete":
            node.cloud_operations.delete(sorted(w.workers))
        elif first == "rent":
            node.cloud_operations.launch(LaunchRequest("small", "north", True, 3, "backlog"))
            assert not node.scheduler.state.refused, "the cloud was not asked, so it has refused nothing"
        elif first == "command":
            index = node.scheduler.state.machine_names.find(worker.name)
            for placement in node.scheduler.state.machines[index].open.values():
                node.scheduler.state.stop(placement, 0.0)
            node.stop_commands.step()
        else:
            copy = msgspec.structs.replace(worker.heartbeat(), fencing_token=1, sequence=999)
            assert node.heartbeat(copy, NEVER)[0] == 503
        assert w.deleted == [] and w.launched_at == launched_at and sent == [], first
        wait(w, 10.0)
        assert w.deleted == [] and len(running(w)) == 16


def test_the_only_controller_stands_still_and_loses_no_machine():
    """Nobody takes over; all leases run out, and everybody comes back with a new epoch."""
    w, name = stands_still(nodes=1)
    before = set(w.workers)
    w.step_node(name)  # it is sure to be the leader again before anybody has reported
    w.fleet(name)
    wait(w, 10.0)
    assert w.deleted == [] and set(w.workers) >= before
    assert len(running(w)) == 16


def test_the_first_heartbeat_after_a_standstill_awaits_the_verification_that_it_calls_for():
    w, name = stands_still(nodes=1, seconds=8.0)
    assert w.heartbeat(next(iter(w.workers.values())), name) == 200


def test_an_outage_longer_than_any_patience_costs_no_machine():
    """From a bound on heartbeats are turned away, so all workers are silent: that is our doing, not
    theirs."""
    w = quiet(machines=4)
    w.submit("n0", w.job(1, crew="blue", parts=16, guess_s=500.0))
    wait(w, 3.0)
    before = set(w.workers)
    w.state.down = True
    wait(w, 90.0)
    w.state.down = False
    w.step_node("n0")  # it is sure to be the leader again before anybody has reported
    w.fleet("n0")
    wait(w, 10.0)
    assert w.deleted == [] and set(w.workers) == before
    assert len(running(w)) == 16


@pytest.mark.parametrize("fields", [{"loaners": False}, {"builds": ["cards"], "parts": 1}])
def test_work_that_no_machine_of_the_fleet_may_take_gets_one_of_its_own(fields):
    """An idle fleet that may not serve a job was reason enough to launch nothing; the job waited for ever."""
    w = quiet(machines=3)
    w.submit("n0", w.job(1, **fields))
    wait(w, 12.0)
    assert len(running(w)) == w.specs["req-000001"].tasks  # the world sees to it that the place is allowed


def test_where_no_spot_machine_is_to_be_had_stranded_work_gets_an_on_demand_one(monkeypatch):
    w = quiet(machines=3)
    launch = w.launch

    def no_spot(request, kind, zone, spot, count):
        if spot:
            raise NoCapacityError
        return launch(request, kind, zone, spot, count)

    monkeypatch.setattr(w, "launch", no_spot)
    w.submit("n0", w.job(1, builds=["cards"], parts=1))
    wait(w, 12.0)
    assert len(running(w)) == 1
