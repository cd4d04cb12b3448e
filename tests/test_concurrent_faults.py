"""Two faults at the same time, with one test for each combination (`docs/meetings.md`).

Each test creates its combination of faults and asserts that it occurred. The simulated cluster checks the
rules of the protocol at every start, at every answer to a user and at every step.
"""

import orjson
import pytest
from cluster_helpers import (
    cluster_running_a_job,
    kill_controller,
    leader_and_other,
    leader_of,
    recover_and_check,
    two_zone_cluster,
    worker_with_running_tasks,
)
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks, started_cluster

from bayford.protocol import workers


def fail_over_and_restart(cluster: Cluster) -> str:
    """Kills the leader, restarts it after the failover and returns the name of the leader at that time."""
    name = cluster.require_leader()
    kill_controller(cluster, name)
    while cluster.leader() is None:
        run_for(cluster, 0.5, cloud=False)
    cluster.boot(name)
    return cluster.require_leader()


@pytest.mark.parametrize("is_killed", [False, True])
def test_transactions_are_applied_and_their_responses_lost_while_others_read_them(is_killed: bool) -> None:
    cluster = cluster_running_a_job()
    name, _, other = leader_and_other(cluster)
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
    assert cluster.query(other, "req-000001") == "done", (
        "the other controllers read what this controller wrote"
    )
    assert cluster.submit(name, cluster.job(3)) == 503, (
        "the controller can't determine whether the record exists"
    )
    assert cluster.submit(other, cluster.job(3)) == 200, (
        "the transaction was applied, so every controller can read the job"
    )
    assert cluster.query_everywhere(3)[0] == "pending"
    assert cluster.nodes[name].cancel("req-000003")[0] == 503
    assert set(cluster.query_everywhere(3)) == {"aborted"}
    if is_killed:
        kill_controller(cluster, name)
    recover_and_check(cluster)


def test_a_heartbeat_delayed_until_a_new_leader_has_acted_changes_nothing() -> None:
    cluster = cluster_running_a_job(machines=2)
    old = cluster.require_leader()
    delayed_heartbeats = [worker.heartbeat() for worker in cluster.workers.values()]  # all four tasks run
    for task_id in running_tasks(cluster)[:2]:
        cluster.finish(task_id)
    cluster.cancel(old, "req-000001")
    kill_controller(cluster, old)
    run_for(cluster, 8.0, cloud=False)
    new = cluster.require_leader()
    assert new != old
    assert not running_tasks(cluster)
    cluster.submit(new, cluster.job(2, parts=8))
    run_for(cluster, 2.0, cloud=False)
    before = running_tasks(cluster)
    for heartbeat in delayed_heartbeats:
        cluster.replay(heartbeat, new)
    run_for(cluster, 4.0, cloud=False)
    assert running_tasks(cluster) == before
    assert len(before) == 8
    recover_and_check(cluster)


def test_an_old_heartbeat_reaches_every_controller_just_as_a_new_leader_recovers() -> None:
    """The first heartbeat of a machine that the new leader receives is minutes old: it must neither start nor
    close anything on that machine."""
    cluster = cluster_running_a_job(machines=2)
    old = cluster.require_leader()
    idle_heartbeats = [r for r in cluster.sent_heartbeats if not r.tasks]
    assert len({r.machine for r in idle_heartbeats}) == 2, "sent before the tasks started"
    kill_controller(cluster, old)
    cluster.pass_time(5.0)
    for name in list(cluster.nodes):
        cluster.step_controller(name)
        for heartbeat in idle_heartbeats:
            cluster.replay(heartbeat, name)
    new, leader, _ = leader_and_other(cluster)
    assert len(leader.scheduler.state.jobs["req-000001"].open) == 4, "the recorded placements remain"
    cluster.submit(new, cluster.job(2, crew="blue", parts=8))
    for _ in range(3):
        cluster.step_controller(new)
    assert not leader.scheduler.state.jobs["req-000002"].open, (
        "no work for a worker that has not acknowledged the fencing token"
    )
    for _ in range(6):
        run_for(cluster, 0.5, cloud=False)
        for heartbeat in idle_heartbeats:
            cluster.replay(heartbeat, new)
    assert len(running_tasks(cluster)) == 8
    recover_and_check(cluster)


def test_jobs_whose_tasks_end_before_and_after_a_failover() -> None:
    cluster = started_cluster(machines=3, nodes=3)
    for number in (1, 2, 3):
        cluster.submit("n0", cluster.job(number, parts=number, crew="blue"))
    run_for(cluster, 3.0, cloud=False)
    for number in (1, 2, 3):
        cluster.finish(f"req-{number:06d}/0")
    run_for(cluster, 0.5, cloud=False)
    before = cluster.require_leader()
    kill_controller(cluster, before)
    run_for(cluster, 8.0, cloud=False)
    assert cluster.require_leader() != before
    assert [set(cluster.query_everywhere(n, parts=n, crew="blue")) for n in (1, 2, 3)] == [
        {"done"},
        {"running"},
        {"running"},
    ]
    cluster.finish("req-000002/1")
    cluster.finish("req-000003/1")
    run_for(cluster, 3.0, cloud=False)
    assert [cluster.query("n2", f"req-{n:06d}") for n in (2, 3)] == ["done", "running"]
    recover_and_check(cluster)


def test_jobs_bound_to_one_zone_lose_their_machines_and_resume_there() -> None:
    cluster = two_zone_cluster()
    cluster.submit("n0", cluster.job(1, parts=4, yard="south", guess_s=500.0))
    cluster.submit("n0", cluster.job(2, parts=6, crew="blue", together=True, guess_s=500.0))
    cluster.submit("n0", cluster.job(3, parts=4, crew="blue", apart=True, guess_s=500.0))
    run_for(cluster, 4.0, cloud=False)
    assert len(running_tasks(cluster)) == 14
    for name in [n for n, worker in cluster.workers.items() if worker.zone == "south"]:
        del cluster.workers[name]
    kill_controller(cluster, cluster.require_leader())
    run_for(cluster, 90.0)  # the cluster checks `wrong_place` at each start
    assert len(running_tasks(cluster)) == 14
    recover_and_check(cluster)


@pytest.mark.parametrize("gap_s", [0.0, 0.5, 4.0])
def test_leaders_fail_over_repeatedly_then_all_controllers_end_and_one_restarts(gap_s: float) -> None:
    cluster = cluster_running_a_job(parts=8)
    leaders = [fail_over_and_restart(cluster) for _ in range(4)]
    assert len(set(leaders)) > 1
    names = list(cluster.nodes)
    for name in names:
        kill_controller(cluster, name)
    cluster.pass_time(gap_s)
    cluster.boot("n1")
    run_for(cluster, 6.0, cloud=False)
    assert list(cluster.nodes) == ["n1"]
    assert cluster.leader() == "n1"
    assert len(running_tasks(cluster)) == 8, "no lease has expired, so all tasks continue"
    recover_and_check(cluster)


def test_ten_failovers_in_two_minutes_one_of_them_during_an_outage() -> None:
    cluster = cluster_running_a_job(parts=8)
    cluster.submit("n1", cluster.job(2, parts=8, crew="blue"))
    tokens = set()
    for failover in range(10):
        tokens.add(leader_of(cluster).membership.record.fencing_token)
        cluster.store.down = failover == 4
        cluster.boot(cluster.require_leader())
        if cluster.store.down:
            run_for(cluster, 3.0)
            assert cluster.leader() is None, "no controller can become leader"
            cluster.store.down = False
        cluster.cancel("n2", "req-000001") if failover == 6 else cluster.query_everywhere(
            1, parts=8, guess_s=500.0
        )
        for _ in range(24):
            run_for(cluster, 0.5)
            if cluster.leader() is not None:
                break
    assert len(tokens) >= 9
    recover_and_check(cluster)


@pytest.mark.parametrize("late_s", [2.0, 12.0])
def test_unanswered_transactions_are_applied_after_newer_ones_of_the_same_controller(late_s: float) -> None:
    cluster = cluster_running_a_job(parts=4, machines=3)
    name, _, other = leader_and_other(cluster)
    cluster.submit(other, cluster.job(2, parts=4, crew="blue"))
    run_for(cluster, 2.0, cloud=False)
    for number, (task_id, also_cancels) in enumerate([("req-000001/0", True), ("req-000002/1", False)], 3):
        cluster.store.write_delay_s[name] = cluster.store.write_delay_s[other] = late_s
        cluster.finish(task_id)
        assert cluster.submit(other, cluster.job(number, crew="blue", parts=1)) == 503
        if also_cancels:
            assert cluster.nodes[other].cancel("req-000002")[0] == 503
        run_for(cluster, 1.0, cloud=False)
        cluster.store.write_delay_s.clear()
        assert cluster.submit(other, cluster.job(number, crew="blue", parts=1)) == 201, (
            "the newer transaction is applied first"
        )
        run_for(cluster, late_s + 1.0, cloud=False)
        cluster.query_everywhere(number, crew="blue", parts=1)
        cluster.query_everywhere(2, parts=4, crew="blue")
        cluster.query_everywhere(1, parts=4, guess_s=500.0)
    assert not cluster.store.late_writes
    assert len(cluster.store.delayed_writes) == 0
    recover_and_check(cluster)


@pytest.mark.parametrize("fault", ["cut", "unresponsive", "hung"])
def test_a_leader_ends_while_machines_with_long_tasks_are_unreachable_or_unresponsive(fault: str) -> None:
    cluster = cluster_running_a_job(parts=8)
    stranded = worker_with_running_tasks(cluster)
    parts = stranded.running()
    if fault == "cut":
        cluster.network_cuts |= {(stranded.name, node) for node in cluster.names}
    setattr(stranded, "unresponsive" if fault == "unresponsive" else "hung", fault != "cut")
    kill_controller(cluster, cluster.require_leader())
    run_for(cluster, 60.0)  # the cluster checks `ran_twice` at each start
    assert stranded.name in cluster.cloud.deleted
    assert set(parts) <= set(running_tasks(cluster)), "its tasks run elsewhere"
    recover_and_check(cluster)


def test_nothing_starts_on_new_machines_while_delayed_writes_are_not_durable_and_the_leader_ends() -> None:
    cluster = cluster_running_a_job(parts=2, machines=1)
    name, _, other = leader_and_other(cluster)
    cluster.submit(other, cluster.job(2, parts=12, crew="blue", guess_s=500.0))
    cluster.store.write_delay_s[name] = 6.0
    cluster.step_controller(name)
    cluster.cloud_step(name)
    assert len(cluster.workers) > 1, "machines were launched and are up at once"
    for _ in range(4):
        run_for(cluster, 0.5)
    assert cluster.store.late_writes and not [
        p for p in running_tasks(cluster) if p.startswith("req-000002")
    ], "the placements are not durable, so nothing is started"
    kill_controller(cluster, name)
    run_for(cluster, 12.0)
    assert cluster.require_leader() != name
    assert len([p for p in running_tasks(cluster) if p.startswith("req-000002")]) == 12
    recover_and_check(cluster)


def test_all_controllers_agree_immediately_after_each_answer() -> None:
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
    recover_and_check(cluster)


def test_heartbeats_of_earlier_epochs_and_attempts_arrive_after_newer_ones() -> None:
    cluster = cluster_running_a_job(parts=4, machines=2)
    assert cluster.leader() is not None
    early_heartbeats = list(cluster.sent_heartbeats)
    worker = worker_with_running_tasks(cluster)
    worker.last_answered_at = 0.0  # its lease has expired
    run_for(cluster, 3.0)
    assert worker.epoch == 2
    assert len(running_tasks(cluster)) == 4
    attempts = sorted(a.number for worker in cluster.workers.values() for a in worker.tasks.values())
    assert max(attempts) > 4, "started again as later attempts"
    for heartbeat in early_heartbeats:
        for node in cluster.names:
            cluster.replay(heartbeat, node)
    run_for(cluster, 5.0)
    assert sorted(a.number for worker in cluster.workers.values() for a in worker.tasks.values()) == attempts
    assert cluster.cloud.deleted == []
    recover_and_check(cluster)


def test_a_delayed_stop_command_of_an_ended_attempt_stops_nothing_else() -> None:
    cluster = cluster_running_a_job(parts=2, machines=1)
    name, leader, _ = leader_and_other(cluster)
    worker = worker_with_running_tasks(cluster)
    task_id = worker.running()[0]
    attempt = next(a.number for a in worker.tasks.values() if a.task_id == task_id)
    late_command = workers.encode_stop_commands(
        leader.membership.record.fencing_token, worker.epoch, [workers.Stop(task_id, attempt, 0.0)]
    )
    worker.hung = True
    run_for(cluster, 4.0, cloud=False)
    worker.hung = False
    run_for(cluster, 2.0, cloud=False)
    cluster.finish(task_id)
    run_for(cluster, 2.0, cloud=False)
    body = cluster.command(name, f"{worker.name}:9", late_command)  # the late command is executed only now
    assert body is not None
    run_for(cluster, 2.0, cloud=False)
    assert len(running_tasks(cluster)) == 1, (
        "the command names an attempt that has ended, and stops nothing else"
    )
    recover_and_check(cluster)


def test_a_zone_with_workers_and_a_controller_is_partitioned_for_longer_than_a_lease() -> None:
    cluster = two_zone_cluster()
    cluster.submit("n0", cluster.job(1, parts=8, crew="blue", guess_s=500.0))
    cluster.submit("n0", cluster.job(2, parts=4, guess_s=500.0))
    run_for(cluster, 4.0, cloud=False)
    assert len(running_tasks(cluster)) == 12
    south = [worker for worker in cluster.workers.values() if worker.zone == "south"]
    north = [worker for worker in cluster.workers.values() if worker.zone == "north"]
    for worker in south:
        worker.reports_to = "n1"
    cluster.network_cuts |= {(worker.name, node) for worker in south for node in ("n0", "n2")}
    cluster.network_cuts |= {(worker.name, "n1") for worker in north}
    cluster.store.unreachable_from.add("n1")
    cluster.mesh_cuts.add("n1")
    cluster.cancel("n2", "req-000002")
    run_for(cluster, cluster.lease_s + 10.0)
    run_for(cluster, 40.0)
    assert not [p for p in running_tasks(cluster) if p.startswith("req-000002")]
    assert len(running_tasks(cluster)) == 8
    recover_and_check(cluster)


def test_all_controllers_are_down_for_longer_than_a_lease() -> None:
    cluster = cluster_running_a_job(parts=8)
    cluster.submit("n0", cluster.job(2, parts=2, crew="blue", guess_s=500.0))
    run_for(cluster, 3.0)
    cluster.cancel("n0", "req-000002")
    for name in list(cluster.nodes):
        kill_controller(cluster, name)
    for _ in range(int(cluster.lease_s + 4.0)):
        cluster.pass_time(1.0)
        for worker in cluster.workers.values():
            worker.check_lease()
    assert not running_tasks(cluster), "all leases have expired"
    for name in cluster.names:
        cluster.boot(name)
    run_for(cluster, 10.0)
    assert len(running_tasks(cluster)) == 8
    assert cluster.cloud.deleted == []
    recover_and_check(cluster)


INVALID_FIELDS = (
    {"cpus": 64.0},
    {"crew": "nobody"},
    {"builds": ["none"]},
    {"parts": 3, "shape": "gang", "cpus": 4.0},
)


def test_invalid_submissions_are_refused_and_not_accepted() -> None:
    cluster = cluster_running_a_job(parts=1, machines=1)
    cluster.finish("req-000001/0")
    run_for(cluster, 3.0, cloud=False)
    assert set(cluster.query_everywhere(1, parts=1, guess_s=500.0)) == {"done"}
    assert cluster.cancel("n2", "req-000001") == "done"
    submission = orjson.loads(cluster.job(2))
    for name in list(cluster.nodes):
        for fields in INVALID_FIELDS:
            assert cluster.submit(name, cluster.job(2, **fields)) == 422, fields
        for field in ("lane", "crew", "shape", "rank", "parts", "cpus", "mem_gb", "together", "guess_s"):
            assert (
                cluster.submit(name, orjson.dumps({k: v for k, v in submission.items() if k != field})) == 400
            ), field
        assert cluster.nodes[name].query("req-000002")[0] == 404
    assert cluster.accepted == {"req-000001"}
    recover_and_check(cluster, 100.0)
