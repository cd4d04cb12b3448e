"""Failovers: a replaced leader has no further effect, and its successor recovers the state."""

import pytest
from fakes.cluster import Cluster
from fakes.scenarios import (
    replaced_leader_with_unwritten_placements,
    run_for,
    running_tasks,
    started_cluster,
    task_log_rows,
)

from bayford.clock import NEVER
from bayford.coordination.leader.job_records import JobRecords
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.storage import records


def test_a_failover_continues_with_starts_in_flight() -> None:
    cluster = started_cluster(nodes=2)
    leader = cluster.require_leader()
    cluster.submit("n1", cluster.job(1))
    cluster.nodes[leader].watch_cache.pull(0.0)
    cluster.nodes[leader].scheduler.round()
    cluster.nodes[leader].commit_loop.commit_once()  # placed and durable, not yet started
    before = cluster.nodes[leader].membership.record.fencing_token
    del cluster.nodes[leader]
    for _ in range(12):
        cluster.step()
    new = cluster.nodes[cluster.require_leader()]
    assert new.membership.record.fencing_token > before
    assert running_tasks(cluster) == ["req-000001/0", "req-000001/1"]


def test_a_replaced_leader_can_neither_write_nor_start() -> None:
    cluster, old_name, other = replaced_leader_with_unwritten_placements()
    old = cluster.nodes[old_name]
    cluster.step_controller(other)
    worker = cluster.first_worker()
    cluster.heartbeat(worker, old_name)  # the old leader has not yet detected its replacement
    assert worker.running() == []
    old.commit_loop.commit_once()
    assert not old.scheduler.leader, "its write failed on the leadership record, so it has stepped down"
    for _ in range(3):
        cluster.step()
    assert len(running_tasks(cluster)) == 4


def test_a_replaced_leader_that_has_read_the_new_leadership_record_does_not_write_under_its_version() -> None:
    cluster, old_name, _ = replaced_leader_with_unwritten_placements()
    old = cluster.nodes[old_name]
    # The watch cache has the new record; the thread that updates the scheduler by it has not run yet.
    old.watch_cache.pull(0.0)
    assert old.scheduler.leader and not old.membership.is_leader()
    before = task_log_rows(cluster)
    worker = cluster.first_worker()
    cluster.heartbeat(worker, old_name)
    old.commit_loop.commit_once()
    assert task_log_rows(cluster) == before
    assert worker.running() == []
    for _ in range(3):
        cluster.step()
    assert len(running_tasks(cluster)) == 4


def test_a_late_response_of_a_replaced_leader_is_dropped_by_its_fencing_token() -> None:
    cluster = started_cluster(nodes=2)
    old_name = cluster.require_leader()
    worker = cluster.first_worker()
    sent, heartbeat = cluster.clock.now, worker.heartbeat()
    late = cluster.nodes[old_name].heartbeat(heartbeat, NEVER)
    other = next(n for n in cluster.nodes if n != old_name)
    assert cluster.nodes[other].membership.acquire_leadership(other)
    cluster.step_controller(other)
    assert cluster.heartbeat(worker, other) == 200
    assert worker.receive(late, sent, heartbeat.epoch) == 0


def test_a_controller_with_a_lower_fencing_token_than_a_worker_sends_no_commands(cluster: Cluster) -> None:
    worker = cluster.first_worker()
    worker.fencing_token = 99
    assert cluster.heartbeat(worker, "n0") == 503


def test_a_machine_that_has_not_acknowledged_the_fencing_token_gets_no_work() -> None:
    """After a failover, the new leader receives heartbeats of the machine, perhaps only replayed ones, but
    the machine has acted on no response."""
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    worker.unresponsive = True
    cluster.boot("n0")
    for _ in range(4):
        cluster.step()
    cluster.submit("n0", cluster.job(1))
    for _ in range(4):
        cluster.step()
    node = cluster.nodes["n0"]
    assert any(m.registered for m in node.scheduler.state.machines.values())
    assert not node.scheduler.state.jobs["req-000001"].open
    worker.unresponsive = False
    for _ in range(3):
        cluster.step()
    assert len(running_tasks(cluster)) == 2


def test_all_controllers_restart_and_nothing_is_lost() -> None:
    cluster = started_cluster(nodes=3)
    cluster.submit("n0", cluster.job(1, parts=4))
    cluster.step()
    cluster.step()
    before = running_tasks(cluster)
    for name in list(cluster.nodes):
        cluster.boot(name)
    for _ in range(12):
        cluster.step()
    assert running_tasks(cluster) == before
    for task_id in before:
        cluster.finish(task_id)
    cluster.step()
    cluster.step()
    assert cluster.query("n2", "req-000001") == "done"


def test_a_new_leader_recovers_the_images_from_the_summary_of_its_predecessor() -> None:
    cluster = started_cluster(machines=30, nodes=2, value_kb=0.5)
    leader = cluster.require_leader()
    cluster.submit(leader, cluster.job(1, parts=1))
    cluster.step()
    cluster.step()
    cluster.finish("req-000001/0")
    cluster.step()
    with_images = [
        m.name for m in cluster.nodes[leader].scheduler.state.machines.values() if any(m.images.values())
    ]
    assert len(with_images) == 1
    cluster.nodes[leader].summary_writer.step()
    assert max(cluster.store.written_sizes) <= 512
    del cluster.nodes[leader]
    for _ in range(12):
        cluster.step()
    new = cluster.nodes[cluster.require_leader()].scheduler
    assert [m.name for m in new.state.machines.values() if any(m.images.values())] == with_images


def test_a_job_submitted_while_a_new_leader_reads_the_records_is_not_overlooked(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    recover = JobRecords.recover

    def recover_late(scheduler: JobRecords, recovered: RecoveredState) -> None:
        # The watch cache reads the job while there is no leader yet to publish it to.
        assert cluster.submit("n0", cluster.job(1)) == 201
        recover(scheduler, recovered)

    monkeypatch.setattr(JobRecords, "recover", recover_late)
    # The old incarnation is removed from the leadership record at once, so n0 becomes leader here.
    cluster.boot("n0")
    for _ in range(3):
        cluster.step()
    assert running_tasks(cluster) == ["req-000001/0", "req-000001/1"]


def test_heartbeats_that_a_relay_left_in_the_store_register_nothing_with_a_later_leader() -> None:
    cluster = started_cluster(machines=1, nodes=2)
    leader = cluster.require_leader()
    other = next(n for n in cluster.nodes if n != leader)
    worker = cluster.first_worker()
    cluster.network_cuts.add((worker.name, leader))
    for _ in range(3):
        cluster.step(1.0)
        cluster.heartbeat(worker, other)
    assert any(k.startswith(records.RELAYS) for k in cluster.store.rows)
    del cluster.workers[worker.name]
    for name in list(cluster.nodes):
        del cluster.nodes[name]
    cluster.pass_time(60.0)
    cluster.boot("n0")
    for _ in range(4):
        cluster.step()
    assert not any(m.registered for m in cluster.nodes["n0"].scheduler.state.machines.values())


def test_replayed_heartbeats_of_a_deleted_machine_get_it_no_work_after_a_failover() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    old_heartbeats = [worker.heartbeat() for _ in range(3)]
    cluster.cloud.execute_delete([worker.name])
    cluster.boot("n0")
    run_for(cluster, 1.0, cloud=False)
    cluster.submit("n0", cluster.job(1))
    for heartbeat in old_heartbeats:
        cluster.replay(heartbeat, "n0")
        run_for(cluster, 0.5, cloud=False)
    assert cluster.nodes["n0"].scheduler.state.machines, "the heartbeats were processed"
    assert not cluster.nodes["n0"].scheduler.state.jobs["req-000001"].open, "the machine got no work"


def test_workers_of_an_isolated_leader_move_to_a_new_leader_and_keep_their_tasks() -> None:
    cluster = started_cluster(machines=3, nodes=3)
    leader = cluster.require_leader()
    cluster.submit(leader, cluster.job(1, crew="blue", parts=12))
    run_for(cluster, 3.0)
    assert len(running_tasks(cluster)) == 12
    epochs = [worker.epoch for worker in cluster.workers.values()]
    cluster.store.unreachable_from.add(leader)
    cluster.mesh_cuts.add(leader)
    run_for(cluster, 14.0)
    assert cluster.leader() is not None and any(
        n.scheduler.leader for k, n in cluster.nodes.items() if k != leader
    )
    assert [worker.epoch for worker in cluster.workers.values()] == epochs, "no lease has expired"
    assert len(running_tasks(cluster)) == 12
    assert not cluster.nodes[leader].is_healthy(), "users are directed to other controllers"
    cluster.cancel(next(n for n in cluster.nodes if n != leader), "req-000001")
    run_for(cluster, 10.0)
    assert running_tasks(cluster) == []
