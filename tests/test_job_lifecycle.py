"""Submission, queries, cancellation and the end of jobs."""

import pytest
from fakes.cluster import Cluster
from fakes.scenarios import leader_with_unwritten_placements, run_for, running_tasks, started_cluster

from bayford.storage.counting_store import CountingStore
from bayford.storage.key_value_store import Outcome, Put, UnavailableError


def test_a_job_runs_and_is_done(cluster: Cluster) -> None:
    assert cluster.submit("n0", cluster.job(1, parts=3)) == 201
    cluster.step()
    cluster.step()
    assert running_tasks(cluster) == ["req-000001/0", "req-000001/1", "req-000001/2"]
    assert cluster.query("n0", "req-000001") == "running"
    for t in range(3):
        cluster.finish(f"req-000001/{t}")
    cluster.step()
    cluster.step()
    assert cluster.query("n0", "req-000001") == "done"
    assert cluster.cancel("n0", "req-000001") == "done"
    assert cluster.submit("n0", cluster.job(1, parts=3)) == 200
    assert not any(worker.tasks for worker in cluster.workers.values()), "ended tasks are reaped"


def test_an_idempotent_request_gets_the_state_from_any_controller() -> None:
    cluster = started_cluster(nodes=3)
    assert cluster.submit("n2", cluster.job(1)) == 201
    assert cluster.submit("n1", cluster.job(1)) == 200


def test_queries_and_cancellations_of_unknown_ids_get_404() -> None:
    cluster = started_cluster(nodes=3)
    assert cluster.nodes["n1"].query("req-000999")[0] == 404
    assert cluster.nodes["n1"].cancel("req-000999")[0] == 404


def test_a_controller_that_cannot_read_the_store_answers_503_not_404() -> None:
    cluster = started_cluster(nodes=2)
    cluster.submit("n0", cluster.job(1))
    cluster.store.unavailable_to.add("n1")
    assert cluster.nodes["n1"].query("req-000001")[0] == 503
    assert cluster.nodes["n1"].submit(cluster.job(2))[0] == 503


def test_a_job_that_can_never_run_gets_422(cluster: Cluster) -> None:
    assert cluster.nodes["n0"].submit(cluster.job(1, crew="green"))[0] == 422
    assert cluster.nodes["n0"].submit(cluster.job(1, cpus=6.0, builds=["small"]))[0] == 422
    assert cluster.nodes["n0"].submit(cluster.job(1, cpus=3.0, shape="gang", parts=3))[0] == 422, (
        "the team's limit is 8 CPUs"
    )
    assert cluster.nodes["n0"].submit(cluster.job(1, cards=1.0, shape="gang", parts=3, crew="blue"))[0] == 422
    assert cluster.nodes["n0"].submit(cluster.job(1, yard="south", cards=1.0, crew="blue"))[0] == 422


def test_while_machine_types_are_unknown_new_jobs_get_503_and_known_ones_their_state(
    cluster: Cluster,
) -> None:
    cluster.nodes["n0"].scheduler.state.types = []
    assert cluster.nodes["n0"].submit(cluster.job(2))[0] == 503, "machine types unknown: can't decide"
    cluster.nodes["n0"].scheduler.set_types(cluster.cloud.catalog())
    assert cluster.submit("n0", cluster.job(3)) == 201
    cluster.nodes["n0"].scheduler.state.types = []
    assert cluster.submit("n0", cluster.job(3)) == 200, "a known job is never refused again"


def test_a_query_waits_for_no_write_and_no_other_job(monkeypatch: pytest.MonkeyPatch) -> None:
    """A query needs only one shared read, whatever the group commit still has to write or fails to write."""
    cluster = started_cluster(machines=2)
    node = cluster.nodes["n0"]
    for number in range(1, 6):
        cluster.submit("n0", cluster.job(number, parts=300))

    def refuse_write(store: CountingStore, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        raise UnavailableError("429", refused=True)

    monkeypatch.setattr(CountingStore, "compare_and_swap", refuse_write)  # for every part of the controller
    node.commit_loop.writes.drain()
    for _ in range(4):
        cluster.pass_time(0.5)
        cluster.step_controller("n0")
    assert node.scheduler.has_pending_writes()
    for number in range(1, 6):
        assert cluster.query("n0", f"req-{number:06d}") is not None
    assert node.submit(cluster.job(9))[0] == 503, "answered at once, with the time after which to retry"


@pytest.mark.parametrize("key", ["b/j/req-000001", "b/log/0"])
def test_an_unreadable_value_gets_503_and_does_not_count_as_an_absent_job(
    key: str, caplog: pytest.LogCaptureFixture
) -> None:
    cluster = started_cluster(machines=4)
    cluster.submit("n0", cluster.job(1, parts=4))
    for _ in range(3):
        cluster.step()
    intact_rows = dict(cluster.store.rows)
    cluster.store.rows[key] = ("!!", intact_rows[key][1], None)
    node = cluster.boot("n0")
    for _ in range(10):
        cluster.pass_time(1.0)
        cluster.store.process_due()
        cluster.step_controller("n0")
    assert node.query("req-000001")[0] == 503
    assert node.submit(cluster.job(1, parts=4))[0] == 503
    assert node.cancel("req-000001")[0] == 503
    assert not node.scheduler.complete, "a leader starts nothing before its state is complete"
    assert any(record.levelname == "ERROR" and key in record.message for record in caplog.records)
    cluster.store.rows = intact_rows
    cluster.boot("n0")
    for _ in range(10):
        cluster.step()
    assert cluster.query("n0", "req-000001") == "running"


def test_a_cancelled_job_is_stopped_and_stays_cancelled_across_a_failover() -> None:
    cluster = started_cluster(nodes=2)
    leader = cluster.require_leader()
    other = next(n for n in cluster.nodes if n != leader)
    cluster.submit(leader, cluster.job(1))
    cluster.step()
    cluster.step()
    assert cluster.cancel(other, "req-000001") == "aborted"
    del cluster.nodes[leader]
    for _ in range(14):
        cluster.step()
    assert running_tasks(cluster) == []
    assert cluster.query(other, "req-000001") == "aborted"
    assert cluster.nodes[other].scheduler.state.quotas[0].used_cpus == 0


def test_a_cancellation_racing_the_last_task_has_one_outcome(cluster: Cluster) -> None:
    cluster.submit("n0", cluster.job(1, parts=1))
    cluster.step()
    cluster.step()
    cluster.finish("req-000001/0")
    for worker in cluster.workers.values():
        cluster.heartbeat(worker)  # the end of the task has reached the scheduler, but not yet the store
    assert cluster.cancel("n0", "req-000001") == "aborted"
    cluster.step()
    cluster.step()
    assert cluster.query("n0", "req-000001") == "aborted"


def test_a_cancellation_while_done_is_being_written_takes_precedence() -> None:
    cluster = started_cluster(nodes=2)
    leader = cluster.require_leader()
    node = cluster.nodes[leader]
    other = next(n for n in cluster.nodes if n != leader)
    cluster.submit(leader, cluster.job(1, parts=1))
    for _ in range(3):
        cluster.step()
    cluster.finish("req-000001/0")
    for worker in cluster.workers.values():
        cluster.heartbeat(worker, leader)
    batch = node.scheduler.take_batch(12)
    assert batch is not None and batch.closed_jobs == ["req-000001"]
    assert cluster.cancel(other, "req-000001") == "aborted"
    node.commit_loop.write(batch)
    for _ in range(3):
        cluster.step()
    assert {cluster.query(n, "req-000001") for n in cluster.nodes} == {"aborted"}


def test_a_cancelled_placement_is_closed_only_by_a_heartbeat_sent_after_the_cancellation() -> None:
    """A heartbeat delayed by a network cut may lack a task that has started since, so it proves nothing."""
    cluster = started_cluster(machines=1)
    worker = cluster.first_worker()
    node = leader_with_unwritten_placements(cluster, parts=1)
    node.commit_loop.commit_once()
    cluster.cancel("n0", "req-000001")
    node.watch_cache.pull(0.0)
    node.scheduler.on_heartbeat(worker.heartbeat(), sent_after=cluster.clock.now - 5.0)
    assert node.scheduler.state.quotas[0].used_cpus == 1.0
    cluster.pass_time(1.0)
    node.scheduler.on_heartbeat(worker.heartbeat(), sent_after=cluster.clock.now)
    assert node.scheduler.state.quotas[0].used_cpus == 0.0


def test_a_machine_that_does_not_confirm_the_stop_of_a_cancelled_task_is_deleted() -> None:
    cluster = started_cluster(machines=2)
    cluster.submit("n0", cluster.job(1, parts=1))
    cluster.step()
    cluster.step()
    holder = next(worker for worker in cluster.workers.values() if worker.running())
    cluster.network_cuts.add((holder.name, "n0"))
    holder.last_answered_at = 1e12  # it hangs: its lease never expires on its own clock
    cluster.cancel("n0", "req-000001")
    for _ in range(30):
        cluster.step(1.0)  # the cluster checks `cancel_s`
        cluster.cloud_step("n0")
    assert holder.name in cluster.cloud.deleted


def test_a_service_runs_until_it_is_cancelled(cluster: Cluster) -> None:
    cluster.submit("n0", cluster.job(1, shape="daemon"))
    cluster.step()
    cluster.step()
    cluster.finish("req-000001/0")
    for _ in range(6):
        cluster.step()
    assert len(running_tasks(cluster)) == 2, "a replica that ends is started again"
    assert cluster.query("n0", "req-000001") == "running"
    assert cluster.cancel("n0", "req-000001") == "aborted"
    cluster.step()
    assert running_tasks(cluster) == []


def test_a_job_unknown_to_every_worker_does_not_withhold_capacity_from_others() -> None:
    """The submission was executed, its response was lost, and the user gave up. Workers refuse such a job."""
    cluster = started_cluster(machines=1)
    cluster.cloud.capacity = 0
    cluster.store.loses_next_response_to.add("n0")
    assert cluster.submit("n0", cluster.job(1, parts=4)) == 503
    assert cluster.submit("n0", cluster.job(2, parts=5)) == 201
    attempts = 0
    for _ in range(60):
        run_for(cluster, 1.0)
        attempts += any(
            a.task_id.startswith("req-000001")
            for worker in cluster.workers.values()
            for a in worker.tasks.values()
        )
        for task_id in running_tasks(cluster)[:1]:
            cluster.finish(task_id)
    assert cluster.query("n0", "req-000002") == "done"
    assert 2 <= attempts <= 12, "it is attempted with a growing back-off"
