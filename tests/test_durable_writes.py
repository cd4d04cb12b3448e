"""Group commit: committed, lost and late transactions, and data too large for one value."""

from fakes.cluster import Cluster
from fakes.scenarios import leader_with_unwritten_placements, run_for, running_tasks, started_cluster

from bayford.storage import records


def test_a_placement_starts_only_after_it_is_committed(cluster: Cluster) -> None:
    leader_with_unwritten_placements(cluster)
    cluster.store.unavailable_to.add("n0")
    for worker in cluster.workers.values():
        cluster.heartbeat(worker)
    assert running_tasks(cluster) == []
    cluster.store.unavailable_to.clear()
    cluster.step()
    assert len(running_tasks(cluster)) == 2


def test_a_lost_response_to_a_committed_transaction_neither_loses_nor_repeats_tasks(cluster: Cluster) -> None:
    node = leader_with_unwritten_placements(cluster)
    cluster.store.loses_next_response_to.add("n0")
    assert not cluster.try_step(node.commit_loop.commit_once) or node.scheduler.has_pending_writes()
    for _ in range(3):
        cluster.step()
    assert len(running_tasks(cluster)) == 2
    for t in range(2):
        cluster.finish(f"req-000001/{t}")
    cluster.step()
    cluster.step()
    assert cluster.query("n0", "req-000001") == "done"


def test_a_transaction_executed_late_does_not_overwrite_later_writes(cluster: Cluster) -> None:
    node = leader_with_unwritten_placements(cluster)
    cluster.store.delays_next_write_of.add("n0")
    cluster.try_step(node.commit_loop.commit_once)
    assert cluster.store.delayed_writes
    cluster.step()
    for t in range(2):
        cluster.finish(f"req-000001/{t}")
    cluster.step()
    cluster.step()
    assert cluster.query("n0", "req-000001") == "done"
    assert not any(outcome.applied for outcome in cluster.store.execute_delayed_writes())
    assert cluster.query("n0", "req-000001") == "done"


def test_an_ended_task_is_reaped_only_once_its_end_is_durable() -> None:
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    cluster.submit("n0", cluster.job(1, parts=2))
    for _ in range(3):
        cluster.step()
    cluster.finish("req-000001/0")
    cluster.store.down = True
    for _ in range(3):
        cluster.step()
    assert ("req-000001/0", "ended") in [(a.task_id, a.phase) for a in worker.tasks.values()]
    cluster.store.down = False
    for _ in range(3):
        cluster.step()
    assert [a.task_id for a in worker.tasks.values()] == ["req-000001/1"]


def test_a_large_array_is_split_into_small_values_and_recovered_completely() -> None:
    cluster = started_cluster(machines=4, value_kb=0.6)
    cluster.submit("n0", cluster.job(1, parts=500, cpus=0.1, mem_gb=0.1))
    for _ in range(8):
        cluster.step()
    assert len(running_tasks(cluster)) > 30
    for task_id in running_tasks(cluster)[::2]:
        cluster.finish(task_id)
    for _ in range(4):
        cluster.step()
    assert max(cluster.store.written_sizes) <= 0.6 * 1024
    cluster.boot("n0")
    for _ in range(10):
        cluster.step()
    job = cluster.nodes["n0"].scheduler.state.jobs["req-000001"]
    assert len(job.done) >= 15 and len(job.open) > 30


def test_a_response_to_a_write_of_an_earlier_term_confirms_no_write_of_this_term() -> None:
    """The same process loses the leadership record and wins it again while a transaction is in flight."""
    cluster = started_cluster(nodes=1)
    node = leader_with_unwritten_placements(cluster, parts=4)
    batch = node.scheduler.take_batch(12)
    assert batch is not None
    assert node.membership.acquire_leadership("n0")
    cluster.step_controller("n0")  # recovers again, under the new leadership record
    assert node.scheduler.term == node.membership.record.version != batch.term
    for _ in range(2):
        cluster.step()  # the workers have received the new fencing token
    cluster.submit("n0", cluster.job(2, crew="blue"))
    node.watch_cache.pull(0.0)
    node.scheduler.round()
    in_flight = node.scheduler.take_batch(12)
    assert in_flight is not None
    node.scheduler.on_committed(batch)
    assert not any(p.durable for p in [*batch.placements, *in_flight.placements])
    assert in_flight.placements
    assert node.scheduler.state.in_flight is in_flight, (
        "the response does not answer the batch that this term has in flight"
    )
    node.scheduler.on_not_committed(in_flight)
    for _ in range(3):
        cluster.step()
    assert len(running_tasks(cluster)) == 6


def test_a_late_write_of_the_old_incarnation_does_not_replace_the_new_one() -> None:
    cluster = started_cluster(nodes=1)
    cluster.store.delays_next_write_of.add("n0")
    cluster.boot("n0")  # its membership write is in flight when the process ends
    assert cluster.store.delayed_writes
    node = cluster.boot("n0")
    run_for(cluster, 1.0)
    assert node.scheduler.leader
    fencing_token = node.membership.record.fencing_token
    cluster.store.execute_delayed_writes()
    assert cluster.store.rows[records.MEMBERS + "n0"][0] == node.incarnation
    run_for(cluster, 8.0)  # longer than the old lease
    assert node.scheduler.leader and node.membership.record.fencing_token == fencing_token
