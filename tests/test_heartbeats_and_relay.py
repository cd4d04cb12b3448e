"""Evidence in heartbeats, also in late and replayed ones, and relays between workers and the leader."""

from fakes.scenarios import leader_with_unwritten_placements, run_for, running_tasks, started_cluster

from bayford.clock import NEVER


def test_a_later_epoch_proves_that_the_tasks_are_gone() -> None:
    cluster = started_cluster(machines=1)
    cluster.submit("n0", cluster.job(1, parts=1))
    cluster.step()
    cluster.step()
    worker = cluster.first_worker()
    worker.last_answered_at = 0.0
    cluster.step()
    cluster.step()
    assert worker.epoch == 2
    assert worker.running() == ["req-000001/0"]


def test_an_old_heartbeat_changes_nothing() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    old = worker.heartbeat()
    cluster.submit("n0", cluster.job(1, parts=1))
    cluster.step()
    cluster.step()
    assert worker.running()
    status, body, _ = cluster.nodes["n0"].heartbeat(old, NEVER)
    assert status == 200 and b'"orders":[]' in body
    assert cluster.nodes["n0"].scheduler.state.quotas[0].used_cpus == 1.0


def test_a_replayed_heartbeat_neither_closes_nor_opens_anything_nor_counts_as_a_second_failure() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    cluster.submit("n0", cluster.job(1, parts=1))
    before = worker.heartbeat()
    for _ in range(3):
        cluster.step()
    assert running_tasks(cluster) == ["req-000001/0"]
    scheduler = cluster.nodes["n0"].scheduler
    placement = scheduler.state.jobs["req-000001"].open[0]
    cluster.replay(before, "n0")  # sent before the task started
    cluster.step()
    assert scheduler.state.jobs["req-000001"].open[0] is placement
    worker.finish("req-000001/0", "error")
    failed = worker.heartbeat()
    cluster.step()
    job = scheduler.state.jobs["req-000001"]
    assert job.errors == 1
    for _ in range(3):
        cluster.replay(failed, "n0")
    assert job.errors == 1
    cluster.cancel("n0", "req-000001")
    cluster.replay(before, "n0")
    cluster.step()


def test_a_replayed_heartbeat_is_no_proof_that_a_cancelled_start_is_absent() -> None:
    cluster = started_cluster(machines=1, nodes=2)
    leader = cluster.require_leader()
    worker = cluster.first_worker()
    empty = worker.heartbeat()
    node = leader_with_unwritten_placements(cluster, leader, parts=1)
    node.commit_loop.commit_once()  # the start is still to be sent
    cluster.cancel(leader, "req-000001")
    cluster.boot(leader)  # the next leader has not yet received a heartbeat of the machine
    for _ in range(10):
        cluster.pass_time(0.5)
        cluster.store.process_due()
        for name in list(cluster.nodes):
            cluster.step_controller(name)
    scheduler = cluster.nodes[cluster.require_leader()].scheduler
    assert scheduler.state.jobs["req-000001"].open
    cluster.replay(empty, cluster.require_leader())
    assert scheduler.state.jobs["req-000001"].open, "a replayed heartbeat proves nothing"
    for _ in range(3):
        cluster.step()
    assert "req-000001" not in scheduler.state.jobs


def test_a_replayed_heartbeat_moves_no_worker_between_leader_and_relay() -> None:
    cluster = started_cluster(machines=1, nodes=2)
    leader = cluster.require_leader()
    other = next(n for n in cluster.nodes if n != leader)
    worker = cluster.first_worker()
    old_heartbeat = worker.heartbeat()
    assert cluster.heartbeat(worker, other) in (200, 421)
    run_for(cluster, 15.0, cloud=False)
    relay = cluster.nodes[other].relay
    before = dict(relay._relayed_until), dict(relay._heartbeats)
    for _ in range(3):
        cluster.pass_time(2.0)
        cluster.replay(old_heartbeat, other)
    assert (relay._relayed_until, relay._heartbeats) == before
    machine = next(iter(cluster.nodes[leader].scheduler.state.machines.values()))
    assert machine.relay == ""


def test_a_worker_that_lost_the_leader_is_relayed_at_once_and_a_new_worker_when_it_retries() -> None:
    cluster = started_cluster(machines=1, nodes=2)
    leader = cluster.require_leader()
    other = next(n for n in cluster.nodes if n != leader)
    known = cluster.first_worker()
    fresh = cluster.machine()
    cluster.network_cuts |= {(known.name, leader), (fresh.name, leader)}
    assert cluster.heartbeat(fresh, other) == 421, (
        "no controller has a record of it, so it is redirected to the leader"
    )
    for _ in range(3):
        cluster.step(1.0)
    assert cluster.heartbeat(fresh, other) == 200, (
        "it sent its heartbeat here again, so it can't reach the leader"
    )
    assert cluster.heartbeat(known, other) == 200, (
        "it has the leader's fencing token, so it has just lost the leader"
    )
    for _ in range(11):
        cluster.step(1.0)
    assert cluster.heartbeat(known, other) == 421, "after a while it is redirected to the leader again"


def test_a_relayed_worker_keeps_its_lease_and_gets_its_commands_from_the_records() -> None:
    # A second worker, whose heartbeats reach the leader, keeps it from transferring leadership to the relay.
    cluster = started_cluster(machines=2, nodes=2)
    leader = cluster.require_leader()
    other = next(n for n in cluster.nodes if n != leader)
    worker = cluster.first_worker()
    cluster.network_cuts.add((worker.name, leader))
    cluster.submit(leader, cluster.job(1, parts=8))
    for _ in range(8):
        cluster.step(1.0)
        cluster.heartbeat(worker, other)
    assert len(worker.running()) == 4
    cluster.finish(worker.running()[0])
    for _ in range(4):
        cluster.step(1.0)
        cluster.heartbeat(worker, other)
    assert cluster.nodes[leader].scheduler.state.jobs["req-000001"].done, (
        "the leader has read the end of the task from the store"
    )
    cluster.cancel(other, "req-000001")
    for _ in range(4):
        cluster.step(1.5)
        cluster.heartbeat(worker, other)
    assert worker.running() == []


def test_a_relay_without_access_to_the_store_redirects_workers_to_one_with_access() -> None:
    """Guards against a relay that keeps workers although it can't store their heartbeats: the leader deleted
    a sixth of the fleet as silent."""
    cluster = started_cluster(machines=1, nodes=3)
    leader = cluster.require_leader()
    worker = cluster.first_worker()
    cluster.submit(leader, cluster.job(1, parts=4, guess_s=500.0))
    run_for(cluster, 3.0, cloud=False)
    failing, working = (n for n in cluster.nodes if n != leader)
    cluster.network_cuts.add((worker.name, leader))
    cluster.store.unavailable_to.add(failing)
    worker.reports_to = failing
    before = running_tasks(cluster)
    run_for(cluster, 40.0)
    assert cluster.cloud.deleted == [] and running_tasks(cluster) == before and len(before) == 4
    assert worker.reports_to == working
