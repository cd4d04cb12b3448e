"""Cancellations confirmed to users during other faults: no task of a cancelled job runs past `cancel_s`.

Each test creates its combination of faults and asserts that it occurred. The simulated cluster checks the
rules of the protocol at every start, at every answer to a user and at every step.
"""

import threading

import pytest
from cluster_helpers import (
    cluster_running_a_job,
    kill_controller,
    leader_and_other,
    leader_of,
    recover_and_check,
    worker_with_running_tasks,
)
from fakes.cluster import Cluster
from fakes.scenarios import leader_with_unwritten_placements, run_for, running_tasks, started_cluster
from fakes.worker import FakeWorker

from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.protocol import mesh
from bayford.storage.records import Record
from bayford.transport.http_handlers import PeerHandler
from bayford.transport.http_server import Request


@pytest.mark.parametrize("notified", [True, False])
@pytest.mark.parametrize("refused_s", [0.5, 1.5, 2.4])
def test_cancelled_tasks_stop_in_time_when_the_store_fails_for_the_leader_and_then_for_all(
    refused_s: float, notified: bool
) -> None:
    """A leader notified over the mesh stops the tasks at once; otherwise the limit on the age of reads stops
    them."""
    cluster = cluster_running_a_job()
    name, leader, other = leader_and_other(cluster)
    if not notified:
        cluster.mesh_cuts.add(name)
    cluster.store.unavailable_to.add(name)
    run_for(cluster, refused_s, cloud=False)
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.nodes[other].notices.send()
    cluster.store.down = True
    assert not leader.watch_cache.is_cancelled("req-000001"), "the leader has not read the cancellation"
    run_for(cluster, 2.0)
    outage_at = cluster.clock.now
    if notified:
        run_for(cluster, 3.0)
        assert not running_tasks(cluster), "stopped because the other controller notified the leader"
    run_for(cluster, cluster.cancel_s + 5.0)  # the simulated cluster checks `cancel_s`
    assert cluster.clock.now - outage_at > cluster.cancel_s
    assert not running_tasks(cluster)
    assert cluster.leader() == name, "no failover: the store was down for all"
    cluster.store.unavailable_to.clear()
    cluster.store.down = False
    cluster.mesh_cuts.clear()
    run_for(cluster, 10.0)
    assert {cluster.query(n, "req-000001") for n in cluster.nodes} == {"aborted"}


def test_writes_of_a_leader_whose_reads_fail_do_not_count_as_reads_of_cancellations() -> None:
    """The leader's commits and comparisons of the leadership record succeed while it reads none of the
    cancellations that other controllers have confirmed."""
    cluster = cluster_running_a_job(machines=4)
    name, leader, other = leader_and_other(cluster)
    cluster.submit(name, cluster.job(2, crew="blue", parts=12, guess_s=500.0))
    run_for(cluster, 3.0, cloud=False)
    cluster.mesh_cuts.add(name)
    cluster.store.reads_unanswered_for.add(name)
    run_for(cluster, 1.0, cloud=False)
    assert cluster.cancel(other, "req-000001") == "aborted"
    before = cluster.store.revision
    for task in range(12):  # the leader keeps writing
        cluster.finish(f"req-000002/{task}")
        run_for(cluster, 1.5, cloud=False)
    assert leader.scheduler.leader
    assert cluster.store.revision - before > 10
    assert not leader.watch_cache.is_cancelled("req-000001")
    cluster.store.down = True
    run_for(cluster, cluster.cancel_s, cloud=False)
    assert not [p for p in running_tasks(cluster) if p.startswith("req-000001/")]


@pytest.mark.parametrize("mixed", [False, True])
def test_a_hung_machine_with_cancelled_tasks_is_deleted_in_time_during_an_outage(mixed: bool) -> None:
    """No controller is a verified leader, and a hung machine does not stop its tasks when its lease expires.
    Only the hung machine is deleted; if it also runs other work, only as late as `cancel_s` allows."""
    cluster = cluster_running_a_job(parts=2 if mixed else 8, cancel_s=30.0)
    name, leader, other = leader_and_other(cluster)
    assert leader.scheduler.staleness_limit() < 0.5 * cluster.cancel_s, (
        "the leader is no longer verified when it has to act"
    )
    if mixed:
        cluster.submit(name, cluster.job(2, crew="blue", parts=6, guess_s=500.0))
        run_for(cluster, 3.0, cloud=False)
    hung_worker = worker_with_running_tasks(cluster)
    assert {p.split("/")[0] for p in hung_worker.running()} >= {"req-000001"}
    hung_worker.hung = True
    cluster.store.unavailable_to.add(name)
    run_for(cluster, 1.0)
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.store.down = True
    run_for(cluster, 0.6 * cluster.cancel_s)
    assert cluster.cloud.deleted == ([] if mixed else [hung_worker.name])
    run_for(cluster, 0.4 * cluster.cancel_s + 2.0)
    assert cluster.cloud.deleted == [hung_worker.name]


def test_an_outage_without_cancellations_deletes_no_hung_machine() -> None:
    cluster = cluster_running_a_job(parts=8)
    cluster.store.down = True
    run_for(cluster, 15.0)
    worker_with_running_tasks(
        cluster
    ).hung = True  # its heartbeat times out after the leader has ceased to be verified
    run_for(cluster, cluster.cancel_s)
    assert cluster.cloud.deleted == []


def test_an_unverified_leader_deletes_nothing_while_the_store_serves_another_controller() -> None:
    """The other controller decides instead: it is the new leader or becomes it soon."""
    cluster = cluster_running_a_job(parts=8)
    name, leader, other = leader_and_other(cluster)
    cluster.store.unavailable_to.add(name)
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.nodes[other].notices.send()
    assert leader.scheduler.state.jobs["req-000001"].cancelled
    assert not leader.verifier.has_no_competing_leader()
    cluster.store.down = True
    run_for(cluster, 8.0, cloud=False)  # by then no other controller reports that the store serves it
    assert leader.verifier.has_no_competing_leader()
    leader.peers.served_at[other] = cluster.clock.now
    assert not leader.verifier.has_no_competing_leader(), "the store serves another controller"
    leader.peers.served_at.clear()
    leader.membership.observe_token(leader.membership.record.fencing_token + 1)
    assert not leader.verifier.has_no_competing_leader(), "a higher fencing token was seen"


def test_a_relay_with_a_stale_watch_cache_stops_cancelled_tasks() -> None:
    cluster = cluster_running_a_job(machines=1)
    name = cluster.require_leader()
    worker = worker_with_running_tasks(cluster)
    cluster.network_cuts.add((worker.name, name))
    run_for(cluster, 6.0, cloud=False)
    relay = worker.reports_to
    assert relay != name
    assert running_tasks(cluster)
    confirming = next(n for n in cluster.nodes if n not in (name, relay))
    cluster.store.unavailable_to.add(relay)
    assert cluster.cancel(confirming, "req-000001") == "aborted"
    cluster.store.down = True
    cluster.nodes[relay].on_cancellations({"req-000001": cluster.clock.wall()})
    cluster.heartbeat(worker, relay)
    assert not running_tasks(cluster)


def test_an_unverified_leader_sends_direct_stops_of_cancelled_jobs() -> None:
    cluster = cluster_running_a_job(parts=2, machines=1)
    name, leader, other = leader_and_other(cluster)
    worker = worker_with_running_tasks(cluster)
    worker.cannot_send = True
    cluster.store.unavailable_to.add(name)
    run_for(cluster, 0.5, cloud=False)
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.store.down = True
    cluster.pass_time(leader.scheduler.staleness_limit() + 1.0)
    assert not leader.verifier.is_verified_leader()
    assert cluster.nodes[other].notices.send()
    cluster.step_controller(name)
    assert not running_tasks(cluster), "stopped by a direct command"


def test_a_cancellation_notice_is_repeated_until_it_is_acknowledged_or_cancel_s_has_passed() -> None:
    cluster = cluster_running_a_job()
    name, leader, other = leader_and_other(cluster)
    cluster.mesh_cuts.add(name)
    cluster.store.unavailable_to.add(name)
    assert cluster.cancel(other, "req-000001") == "aborted"
    assert not cluster.nodes[other].notices.send()
    cluster.mesh_cuts.clear()
    assert cluster.nodes[other].notices.send()
    assert leader.scheduler.state.jobs["req-000001"].cancelled
    cluster.mesh_cuts.add(name)
    cluster.submit(other, cluster.job(2))
    assert cluster.cancel(other, "req-000002") == "aborted"
    assert not cluster.nodes[other].notices.send()
    cluster.pass_time(cluster.cancel_s)
    assert cluster.nodes[other].notices.send(), "after `cancel_s` the notice has no use"


def test_cancellation_notices_over_the_mesh_are_validated() -> None:
    cluster = started_cluster(nodes=2)
    name, leader, _ = leader_and_other(cluster)
    cluster.submit(name, cluster.job(1))
    run_for(cluster, 2.0, cloud=False)
    handler = PeerHandler(leader)
    for body in (b"{", b"[]", b'{"req-000001":"now"}', b'{"req-000001":null}'):
        assert handler.handle(Request("POST", mesh.CANCELLED_PATH, body, 0.0)).status == 400
    assert handler.handle(Request("GET", mesh.CANCELLED_PATH, b"", 0.0)).status == 404
    assert not leader.scheduler.state.jobs["req-000001"].cancelled
    body = mesh.encode_cancelled({"req-000001": cluster.clock.wall(), "req-000099": cluster.clock.wall()})
    assert handler.handle(Request("POST", mesh.CANCELLED_PATH, body, 0.0)).status == 200
    assert leader.scheduler.state.jobs["req-000001"].cancelled


def test_a_job_cancelled_before_the_leader_has_read_it_never_starts() -> None:
    cluster = started_cluster(nodes=3)
    name, leader, other = leader_and_other(cluster)
    cluster.store.reads_unanswered_for.add(name)
    assert cluster.submit(other, cluster.job(1)) == 201
    assert cluster.cancel(other, "req-000001") == "aborted"
    assert cluster.nodes[other].notices.send()
    cluster.store.reads_unanswered_for.clear()
    run_for(cluster, 5.0, cloud=False)
    assert not running_tasks(cluster)
    assert "req-000001" not in leader.scheduler.state.jobs


def test_a_start_command_follows_a_read_that_shows_the_cancellations_of_other_controllers() -> None:
    """Guards against a check before a start that only compares the leadership record. A cancellation that
    another controller confirms in between does not change that record, so the task was started."""
    cluster = started_cluster(machines=1, nodes=3)
    name, leader, other = leader_and_other(cluster)
    leader_with_unwritten_placements(cluster, name)
    leader.commit_loop.commit_once()
    assert leader.scheduler.state.jobs["req-000001"].open
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.heartbeat(next(iter(cluster.workers.values())), name)
    assert not running_tasks(cluster)


def test_cancellations_with_more_work_than_capacity_over_slow_links() -> None:
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
    waiting = sum(len(job.waiting) for job in leader_of(cluster).scheduler.state.jobs.values())
    assert waiting > 4 and len(running_tasks(cluster)) >= 8, "more work than capacity"
    cluster.submit("n1", cluster.job(20, parts=1, rank="critical"))
    for _ in range(40):
        run_for(cluster, 0.5)
        if any(
            worker.response_in_flight and b"req-000020" in worker.response_in_flight.response[1]
            for worker in cluster.workers.values()
        ):
            break
    assert cluster.cancel("n2", "req-000020") == "aborted"
    run_for(cluster, 2.0)
    assert cluster.late_starts == ["req-000020/0"], "the start command was in flight at the cancellation"
    recover_and_check(cluster)


def test_workers_that_send_no_heartbeats_get_direct_stops_of_cancelled_tasks_and_are_replaced() -> None:
    cluster = cluster_running_a_job(parts=8)
    mute_worker = worker_with_running_tasks(cluster)
    mute_worker.cannot_send = True
    cluster.cancel("n1", "req-000001")
    run_for(cluster, 1.0)
    assert not mute_worker.running(), "a direct command stopped its tasks"
    assert cluster.submit("n0", cluster.job(2, parts=8, guess_s=500.0)) == 201
    run_for(cluster, 30.0)
    assert mute_worker.name in cluster.cloud.deleted
    assert len(running_tasks(cluster)) == 8
    recover_and_check(cluster)


def test_queries_and_cancellations_while_the_store_refuses_the_leader_and_then_everyone() -> None:
    cluster = cluster_running_a_job(parts=4, machines=3)
    name, _, other = leader_and_other(cluster)
    cluster.submit(other, cluster.job(2, parts=4, crew="blue"))
    run_for(cluster, 2.0, cloud=False)
    cluster.finish("req-000002/0")
    cluster.store.unavailable_to.add(name)
    assert cluster.nodes[name].query("req-000001")[0] == 503
    assert cluster.nodes[name].cancel("req-000001")[0] == 503, (
        "the outcome is not certain, so the status is never 200"
    )
    assert cluster.cancel(other, "req-000001") == "aborted"
    cluster.store.down = True
    for _ in range(int(cluster.cancel_s + 8.0)):
        run_for(cluster, 1.0)
        for node in cluster.nodes:
            assert cluster.query(node, "req-000002") is None
            assert cluster.query(node, "req-000001") in (None, "aborted")
    assert not running_tasks(cluster), (
        "no read is recent enough: all leases have expired, and cancelled tasks are stopped"
    )
    recover_and_check(cluster)


def test_four_one_task_jobs_a_second_for_minutes_with_a_quarter_cancelled() -> None:
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
    assert submitted == 480
    assert cancelled > 60
    recover_and_check(cluster, 100.0)
    assert sum(job_id not in cluster.cancelled for job_id in cluster.accepted) == submitted - cancelled
    assert sum(key.startswith("b/log/") for key in cluster.store.rows) < 60, (
        "the task log does not grow with the number of jobs"
    )


@pytest.mark.parametrize("request_kind", ["cancel", "question", "repeat"])
@pytest.mark.parametrize("moment", ["ended", "heartbeat", "writing", "written"])
def test_a_cancellation_query_or_idempotent_request_races_with_the_end_of_the_last_task(
    request_kind: str, moment: str
) -> None:
    cluster = cluster_running_a_job(parts=1, machines=1)
    name, leader, other = leader_and_other(cluster)
    cluster.finish("req-000001/0")
    batch = None
    if moment != "ended":
        cluster.heartbeat(worker_with_tasks(cluster), name)
    if moment in ("writing", "written"):
        batch = leader.scheduler.take_batch(12)
        assert batch is not None
        assert batch.closed_jobs == ["req-000001"]
    if moment == "written":
        assert batch is not None
        leader.commit_loop.write(batch)
    phases = set(cluster.query_everywhere(1, parts=1, guess_s=500.0))
    if request_kind == "cancel":
        assert cluster.cancel(other, "req-000001") == ("done" if moment == "written" else "aborted")
    if moment == "writing":
        assert batch is not None
        leader.commit_loop.write(batch)
    assert phases == ({"done"} if moment == "written" else {"running"})
    run_for(cluster, 3.0, cloud=False)
    expected = "aborted" if request_kind == "cancel" and moment != "written" else "done"
    assert set(cluster.query_everywhere(1, parts=1, guess_s=500.0)) == {expected}
    recover_and_check(cluster)


def worker_with_tasks(cluster: Cluster) -> FakeWorker:
    """Returns the first worker that has a task, running or ended."""
    return next(worker for worker in cluster.workers.values() if worker.tasks)


def test_jobs_are_cancelled_through_the_new_leader_while_the_old_one_still_serves() -> None:
    cluster = cluster_running_a_job(parts=8, machines=2)
    old, old_leader, _ = leader_and_other(cluster)
    cluster.store.unreachable_from.add(old)
    cluster.mesh_cuts.add(old)
    run_for(cluster, 3.5, cloud=False)  # its membership expires
    for _ in range(12):
        for name in list(cluster.nodes):
            if name != old:
                cluster.step_controller(name)
        cluster.pass_time(0.2)
    new = next(n for n in cluster.nodes if n != old and cluster.nodes[n].scheduler.leader)
    assert old_leader.scheduler.leader, "the old leader can't know that it was replaced"
    assert cluster.cancel(new, "req-000001") == "aborted"
    assert old_leader.query("req-000001")[0] == 503
    run_for(cluster, cluster.cancel_s)
    assert not running_tasks(cluster)
    recover_and_check(cluster)


def test_jobs_are_cancelled_before_during_and_after_the_recovery_of_a_new_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One job is cancelled before the new leader's last read, one between that read and its recovery, and one
    right after the recovery."""
    cluster = cluster_running_a_job(parts=3)
    old, _, other = leader_and_other(cluster)
    cluster.submit(other, cluster.job(2, parts=3, crew="blue", guess_s=500.0))
    cluster.submit(other, cluster.job(3, parts=2, crew="blue", guess_s=500.0))
    run_for(cluster, 2.0, cloud=False)
    assert len(running_tasks(cluster)) == 8
    kill_controller(cluster, old)
    cluster.pass_time(4.0)
    third = next(n for n in cluster.nodes if n != other)
    assert cluster.cancel(third, "req-000001") == "aborted"
    node = cluster.nodes[other]
    recover = node.scheduler.recover
    answers = []

    def recover_and_cancel(recovered: RecoveredState) -> None:
        recover(recovered)
        answers.append(cluster.cancel(third, "req-000002"))

    monkeypatch.setattr(node.scheduler, "recover", recover_and_cancel)
    for _ in range(10):
        cluster.step_controller(other)
        cluster.pass_time(0.2)
    assert answers == ["aborted"]
    assert node.scheduler.leader
    assert cluster.cancel(third, "req-000003") == "aborted"
    run_for(cluster, 6.0, cloud=False)
    assert not running_tasks(cluster)
    recover_and_check(cluster)


@pytest.mark.parametrize("fault", ["cut", "hung"])
def test_cancellations_on_unreachable_machines_with_every_team_at_its_quota_and_a_failover(
    fault: str,
) -> None:
    cluster = started_cluster(machines=6, nodes=3)
    cluster.submit("n0", cluster.job(1, parts=8, guess_s=500.0))
    cluster.submit("n0", cluster.job(2, parts=16, crew="blue", guess_s=500.0))
    cluster.submit("n0", cluster.job(3, parts=8, guess_s=500.0))
    cluster.submit("n0", cluster.job(4, parts=16, crew="blue", guess_s=500.0))
    run_for(cluster, 5.0, cloud=False)
    assert len(running_tasks(cluster)) == 24, "both teams are at their quotas, and more tasks wait"
    stranded = [worker for worker in cluster.workers.values() if worker.running()][:2]
    for worker in stranded:
        if fault == "cut":
            cluster.network_cuts |= {(worker.name, node) for node in cluster.names}
        else:
            worker.hung = True
    cluster.cancel("n1", "req-000001")
    cluster.cancel("n2", "req-000002")
    kill_controller(cluster, cluster.require_leader())
    remaining = len([p for worker in stranded for p in worker.running()])
    assert remaining > 0
    run_for(cluster, 14.0)  # the cluster checks the team quotas
    run_for(cluster, cluster.cancel_s)
    assert not [p for p in running_tasks(cluster) if p[:10] in ("req-000001", "req-000002")]
    assert len(running_tasks(cluster)) == 24, "the waiting tasks run in their place"
    recover_and_check(cluster)


def test_a_read_does_not_advance_as_of_before_the_scheduler_has_reconciled_its_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One thread has read a cancellation and is about to reconcile it with the scheduler. The read of a
    second thread finds the cancellation in the watch cache already; it must not advance `as_of` before the
    first thread has finished."""
    cluster = started_cluster(machines=1, nodes=2)
    name, leader, other = leader_and_other(cluster)
    cluster.submit(name, cluster.job(1))
    leader.watch_cache.pull(0.0)
    assert cluster.cancel(other, "req-000001") == "aborted"
    reconciling, may_continue = threading.Event(), threading.Event()
    reconcile_job = leader.scheduler.reconcile_job

    def reconcile_slowly(record: Record, version: int) -> None:
        reconciling.set()
        assert may_continue.wait(30.0)
        reconcile_job(record, version)

    monkeypatch.setattr(leader.scheduler, "reconcile_job", reconcile_slowly)
    first = threading.Thread(target=leader.watch_cache.pull, args=(0.0,))
    first.start()
    assert reconciling.wait(30.0)
    before = leader.watch_cache.as_of
    cluster.clock.now += 1.0
    second = threading.Thread(target=leader.watch_cache.pull, args=(0.0,))
    second.start()
    second.join(0.3)  # with the fault, the second read finishes by then; without it, it waits
    assert leader.watch_cache.as_of == before
    assert not leader.scheduler.state.jobs["req-000001"].cancelled
    may_continue.set()
    for thread in (first, second):
        thread.join()
    assert leader.watch_cache.as_of > before
    assert leader.scheduler.state.jobs["req-000001"].cancelled
