"""Tests of clusters with two releases: shared formats, lowered limits of the store, and failover.

The formats are those of the production release, both in the key-value store and in messages.
"""

import json
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest
from fakes.cluster import Cluster
from fakes.scenarios import running_tasks, started_cluster

from bayford.coordination.store_limits import StoreLimits
from bayford.coordination.store_writer import write_each
from bayford.coordination.workers.relayed_heartbeats import RelayedHeartbeats
from bayford.protocol import mesh, workers
from bayford.storage import load_summary, records, row_builder, task_log
from bayford.storage.key_value_store import Put, Row, TooLargeError

# A sample of each format, written once by the release in production.
GOLDEN = json.loads((Path(__file__).parent / "fixtures" / "production.json").read_text())
NEXT_LIMITS = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0"


def golden_task_log() -> task_log.TaskLog:
    log = task_log.TaskLog(GOLDEN["layout_bytes"])
    log.rebuild([tuple(row) for row in GOLDEN["rows"]])
    return log


def progress_of(log: task_log.TaskLog) -> dict[str, Any]:
    return {
        job: {
            "open": {str(task): list(placement) for task, placement in sorted(progress.open.items())},
            "done": sorted(progress.done),
        }
        for job, progress in sorted(log.jobs.items())
    }


def shape(value: object) -> Any:
    """Returns the keys and types of a value without its contents.

    These must match for a reader that rejects unknown fields.
    """
    if isinstance(value, dict):
        return {k: shape(v) for k, v in value.items()}
    return [type(v).__name__ for v in value] if isinstance(value, list) else type(value).__name__


# -- formats ---------------------------------------------------------------------------------------------


def test_production_records_are_decoded_and_encoded_again_unchanged() -> None:
    for value in GOLDEN["records"]:
        record = records.decode(value)
        assert records.encode(record) == value, "an older release requires exactly these fields"
        assert records.encode_within(record, 2048) == value
    array, daemon = (records.decode(value) for value in GOLDEN["records"][:2])
    assert not array.is_final and daemon.spec.shape == "service" and daemon.spec.tasks == 6


def test_production_rows_rebuild_their_state_and_shorter_rows_keep_their_format() -> None:
    log = golden_task_log()
    assert progress_of(log) == GOLDEN["state"]
    assert [
        log.next,
        log.tail,
        log.next_attempt,
        [list(s) for s in log.next_slots(3)],
    ] == GOLDEN["next"]
    known_fields = {key for _, _, row in GOLDEN["rows"] for key in row} | {"x", "c"}
    rows = [tuple(row) for row in GOLDEN["rows"]]
    version = 1000
    for _ in range(120):
        builder = row_builder.RowBuilder(log, log.next, log.reclaimable_tail(), log.next_attempt, 2048)
        builder.add_snapshots()
        slot, _ = log.next_slots(1)[0]
        value = orjson.loads(orjson.dumps(builder.build()))
        assert set(value) <= known_fields, "an older release rejects unknown fields"
        assert len(orjson.dumps(value)) <= 2048
        version += 1
        log.apply_row(slot, version, value)
        rows = [row for row in rows if row[0] != slot] + [(slot, version, value)]
    assert progress_of(log) == GOLDEN["state"]
    fresh = task_log.TaskLog(GOLDEN["layout_bytes"])
    fresh.rebuild(rows)
    assert progress_of(fresh) == GOLDEN["state"]
    assert max(len(orjson.dumps(value)) for _, _, value in rows if value["n"] >= fresh.tail) <= 2048


def test_production_relay_values_summaries_status_and_responses_are_decoded_and_encoded_unchanged() -> None:
    row = Row("b/relay/n2/0", GOLDEN["relay"], 5)
    name, heartbeats = RelayedHeartbeats().decode(row, GOLDEN["relay"]["at"])
    assert name == "n2" and [msgspec.to_builtins(r) for r in heartbeats] == [GOLDEN["report"]]
    assert mesh.pack_heartbeats(heartbeats, 2000) == [GOLDEN["relay"]["reports"]]
    rows = [Row(key, value, 5) for key, value in GOLDEN["summary"]]
    assert load_summary.newest_images(rows, 0.0) == {"vm-000231": ["img-07", "img-1"], "vm-000232": ["img-1"]}
    machines = [("vm-000231", 0.5, ["img-07", "img-1"]), ("vm-000232", 0.0, ["img-1"])]
    assert [[p.key, p.value] for p in load_summary.encode("n2", 1700000003.0, machines, 2048, 0)] == GOLDEN[
        "summary"
    ]
    status = mesh.decode_status(orjson.dumps(GOLDEN["status"]))
    assert (status.member, status.fencing_token, status.served, status.release) == ("n2", 7, True, 1)
    status_now = orjson.loads(mesh.encode_status(mesh.Status("n2", 7, "n2", True, mesh.RELEASE)))
    assert {k: status_now[k] for k in GOLDEN["status"]} == GOLDEN["status"]
    commands: list[workers.Command] = [
        workers.Start("req-000412/4", 2),
        workers.Stop("req-000377/1", 1, 10.0),
    ]
    assert (
        orjson.loads(workers.encode_response(7, [*commands, workers.Reap("req-000398/0", 1)]))
        == GOLDEN["answer"]
    )
    assert orjson.loads(workers.encode_redirect("n2")) == GOLDEN["redirect"]


def test_the_leadership_record_and_member_records_keep_the_production_format() -> None:
    cluster = started_cluster(nodes=2)
    assert shape(cluster.store.rows["b/map"][0]).keys() == shape(GOLDEN["map"]).keys()
    for name in cluster.nodes:
        assert isinstance(cluster.store.rows[f"b/member/{name}"][0], str) and isinstance(
            GOLDEN["member"], str
        )


def test_a_leadership_record_with_many_teams_is_cut_to_the_fields_that_every_release_reads() -> None:
    cluster = started_cluster(nodes=2)
    node = cluster.nodes["n0"]
    node.membership._teams = [f"team-{n:03d}-of-a-long-name" for n in range(200)]
    node.limits.value_bytes = cluster.store.value_bytes = 1024
    assert node.membership.acquire_leadership("n0")
    value = cluster.store.rows["b/map"][0]
    leader = next(iter(value["owners"].values()))  # as the production release reads it
    assert leader == "n0" and value["members"][leader] == node.incarnation
    cluster.step()
    assert cluster.leader() == "n0"


def submit_load(cluster: Cluster, tasks: int) -> None:
    """Adds four machines and submits an array of small tasks and a service."""
    for _ in range(4):
        cluster.machine()
    cluster.submit("n0", cluster.job(1, parts=tasks, crew="blue", cpus=0.25))
    cluster.submit("n0", cluster.service(2, loaners=True))


# -- limits ----------------------------------------------------------------------------------------------


def test_the_smaller_of_the_current_and_the_upcoming_limit_applies_and_each_is_optional() -> None:
    state = started_cluster().settings("n0").facts.state
    upcoming = msgspec.convert({"value_kb": 2.0, "txn_ops": 40}, type(state).__annotations__["next"])
    limits = StoreLimits(msgspec.structs.replace(state, next=upcoming))
    assert (limits.value_bytes, limits.txn_ops, limits.write_rps, limits.layout_bytes) == (
        2048,
        12,
        1000.0,
        8192,
    )


@pytest.mark.parametrize("is_announced", [True, False])
def test_limits_lowered_under_full_load_stop_no_work(is_announced: bool) -> None:
    """A write that is refused for its size must not be retried unchanged for ever.

    With a limit that was announced beforehand, no write is refused.
    """
    cluster = started_cluster(
        machines=0, value_kb=1.5, next_limits="value_kb = 0.5\ntxn_ops = 4" if is_announced else ""
    )
    submit_load(cluster, 200)
    for _ in range(4):
        cluster.step()
    cluster.store.value_bytes, cluster.store.txn_ops = 512, 4
    for _ in range(40):
        for task_id in running_tasks(cluster):
            if task_id.startswith("req-000001"):
                cluster.finish(task_id)
        cluster.step()
    assert cluster.query("n0", "req-000001") == "done"
    assert [task_id for task_id in running_tasks(cluster) if task_id.startswith("req-000002")] == [
        "req-000002/0",
        "req-000002/1",
    ]
    assert cluster.cancel("n0", "req-000002") == "aborted"
    for _ in range(4):
        cluster.step()
    assert running_tasks(cluster) == []
    assert (cluster.store.too_large_count == 0) is is_announced
    assert cluster.store.too_large_count < 12


def test_a_record_accepted_under_the_old_limit_is_rewritten_within_the_new_one() -> None:
    long = "x" * 190
    cluster = started_cluster(machines=2, value_kb=2.0)
    cluster.submit("n0", cluster.job(1, lane=long, bundle=long, cpus=4.0))
    cluster.submit("n0", cluster.job(2, lane=long, bundle=long))
    for _ in range(3):
        cluster.step()
    cluster.store.value_bytes = 400
    assert cluster.cancel("n0", "req-000002") is None, "refused, since the record in full exceeds the limit"
    cluster.nodes["n0"].limits.value_bytes = 400
    assert cluster.cancel("n0", "req-000002") == "aborted"
    for task_id in running_tasks(cluster):
        cluster.finish(task_id)
    for _ in range(6):
        cluster.step()
        for task_id in running_tasks(cluster):
            cluster.finish(task_id)
    assert cluster.query("n0", "req-000001") == "done"
    cluster.boot("n0")  # the records in their shorter form can still be read
    for _ in range(12):
        cluster.step()
    assert cluster.query("n0", "req-000001") == "done"
    assert cluster.query("n0", "req-000002") == "aborted"


def test_a_submission_above_the_upcoming_limit_is_rejected() -> None:
    cluster = started_cluster(next_limits="value_kb = 0.5")
    status, body, _ = cluster.nodes["n0"].submit(cluster.job(1, lane="x" * 200, bundle="é" * 200))
    assert status == 400 and b"bytes" in body
    assert cluster.nodes["n0"].query("req-000001")[0] == 404
    assert cluster.submit("n0", cluster.job(2)) == 201


def test_a_refused_relay_row_does_not_prevent_the_write_of_others(cluster: Cluster) -> None:
    node = cluster.nodes["n0"]
    cluster.store.txn_ops, cluster.store.value_bytes = 2, 300
    write_each(
        node.commit_loop.store,
        node.limits,
        [
            Put(f"b/relay/n0/{n}", {"at": 1.0, "reports": "x" * size})
            for n, size in enumerate([10, 20, 900, 30])
        ],
    )
    assert [k for k in cluster.store.rows if k.startswith("b/relay")] == [
        "b/relay/n0/0",
        "b/relay/n0/1",
        "b/relay/n0/3",
    ]


# Guards against a transaction of over 64 KiB, which the state service refuses.
@pytest.mark.parametrize(
    ("sizes", "transactions"), [([8000] * 12, 2), ([8000] * 9, 2), ([100] * 24, 2), ([60_000] * 3, 3)]
)
def test_relay_rows_are_written_in_as_few_transactions_as_the_store_accepts(
    sizes: list[int], transactions: int
) -> None:
    cluster = Cluster(1)
    node = cluster.nodes["n0"]
    before = cluster.store.revision
    puts = [Put(f"b/relay/n0/{n}", {"at": 1.0, "reports": "x" * size}) for n, size in enumerate(sizes)]
    write_each(node.commit_loop.store, node.limits, puts)
    assert cluster.store.too_large_count == 0
    assert len([key for key in cluster.store.rows if key.startswith("b/relay")]) == len(sizes)
    assert cluster.store.revision - before == transactions


def test_a_summary_is_written_one_value_at_a_time_and_a_refusal_costs_one_write() -> None:
    """Guards against summary writes that use up the write rate.

    Writing all values at once, and retrying them on credit, left no writes for commits for 66 s.
    """
    cluster = started_cluster(machines=40, value_kb=0.5, writes=15.0)
    node = cluster.nodes["n0"]
    for worker in cluster.workers.values():
        cluster.heartbeat(worker)
    before = node.commit_loop.writes.available()
    cluster.store.unavailable_to.add("n0")
    for _ in range(20):
        cluster.try_step(node.summary_writer.step)
    assert before - node.commit_loop.writes.available() <= 20
    cluster.store.unavailable_to.clear()
    rows = len([k for k in cluster.store.rows if k.startswith(records.SUMMARIES)])
    node.summary_writer.step()
    assert len([k for k in cluster.store.rows if k.startswith(records.SUMMARIES)]) <= rows + 1


def test_the_stored_layout_remains_when_the_settings_have_a_new_limit() -> None:
    """The stored layout fixes the value size from which the block numbers of the task log follow.

    Read with another size, the snapshots of running tasks would refer to other tasks.
    """
    cluster = started_cluster(machines=0, value_kb=1.5)
    submit_load(cluster, 90)  # enough tasks for a task log with snapshots
    for _ in range(60):
        cluster.step()
        for task_id in running_tasks(cluster):
            if task_id.startswith("req-000001") and cluster.rng.random() < 0.1:
                cluster.finish(task_id)
    before = cluster.nodes["n0"].watch_cache.with_task_log(progress_of)
    assert any("s" in row[0] for key, row in cluster.store.rows.items() if key.startswith(records.LOG))
    cluster.value_kb = 0.6
    node = cluster.boot("n0")
    assert node.limits.value_bytes == 614
    assert node.watch_cache.with_task_log(progress_of) == before
    for _ in range(30):
        cluster.step()
        for task_id in running_tasks(cluster):
            if task_id.startswith("req-000001"):
                cluster.finish(task_id)
    assert cluster.query("n0", "req-000001") == "done"


def test_no_controller_leads_or_answers_queries_while_the_layout_is_unreadable() -> None:
    cluster = started_cluster(nodes=2)
    cluster.submit("n0", cluster.job(1))
    cluster.store._change([Put(records.LAYOUT, "oops")])
    for name in cluster.nodes:
        cluster.boot(name)
    for _ in range(10):
        cluster.step()
    assert cluster.leader() is None and {cluster.nodes[n].query("req-000001")[0] for n in cluster.nodes} == {
        503
    }


# -- failover between releases ---------------------------------------------------------------------------


def cluster_of_old_release(machines: int = 2) -> Cluster:
    """Returns a cluster of three controllers of the old release, with a leader and running tasks."""
    cluster = Cluster(3, next_limits=NEXT_LIMITS, old_release=["n0", "n1", "n2"])
    for _ in range(machines):
        cluster.machine()
    cluster.submit("n0", cluster.job(1, parts=3))
    for _ in range(4):
        cluster.step()
    assert cluster.leader() == "n0" and len(running_tasks(cluster)) == 3
    return cluster


def upgrade(cluster: Cluster, name: str) -> None:
    """Kills a controller and restarts it with the new release eight steps later."""
    del cluster.nodes[name]
    for _ in range(8):
        cluster.step()
    cluster.old_release.discard(name)
    cluster.boot(name)


def test_the_first_upgraded_controller_takes_over_from_an_old_leader_in_the_only_failover() -> None:
    cluster = cluster_of_old_release()
    fencing_token = cluster.nodes["n0"].membership.record.fencing_token
    for name in ("n2", "n1", "n0"):
        upgrade(cluster, name)
        for _ in range(20):
            cluster.step()
        assert cluster.leader() == "n2", (
            "leadership passes neither to a controller that is still to be upgraded nor back"
        )
        assert len(running_tasks(cluster)) == 3
    assert cluster.nodes["n2"].membership.record.fencing_token == fencing_token + 1
    assert (
        not cluster.nodes["n0"].peers.peers_of_older_release()
        and not cluster.nodes["n2"].peers.peers_of_older_release()
    )


def test_no_failover_from_an_old_leader_while_any_controller_is_unreachable() -> None:
    cluster = cluster_of_old_release()
    upgrade(cluster, "n2")
    for _ in range(3):
        cluster.step()  # n2 receives the status of all peers
    cluster.mesh_cuts.add("n1")
    for _ in range(20):
        cluster.step()
    assert cluster.leader() == "n0"
    cluster.mesh_cuts.clear()
    for _ in range(4):
        cluster.step()
    assert cluster.leader() == "n2"


def test_an_upgraded_controller_takes_over_before_an_old_one_when_the_leader_fails() -> None:
    cluster = cluster_of_old_release()
    upgrade(cluster, "n1")
    cluster.mesh_cuts.add("n2")  # keeps n1 from taking over while the leader is alive
    cluster.step()
    new, old = cluster.nodes["n1"].membership, cluster.nodes["n2"].membership
    assert new.failover_delay_s() < old.failover_delay_s() and new.failover_delay_s() == 0.0
    cluster.old_release.discard("n0")  # as if n0 were upgraded as well
    cluster.nodes["n1"].peers.releases["n0"] = mesh.RELEASE
    assert new.failover_delay_s() > 0.0


def test_an_old_controller_that_restarts_does_not_take_over_and_a_downgrade_loses_no_work() -> None:
    cluster = cluster_of_old_release()
    upgrade(cluster, "n2")
    for _ in range(20):
        cluster.step()
    assert cluster.leader() == "n2"
    cluster.boot("n0")  # still the old release: it has not been upgraded yet
    cluster.boot("n0")
    for _ in range(10):
        cluster.step()
    assert cluster.leader() == "n2" and len(running_tasks(cluster)) == 3
    # An old leader reads what a new one has written, and later a new leader what an old one has written.
    del cluster.nodes["n2"], cluster.nodes["n1"]
    for _ in range(12):
        cluster.step()
    assert cluster.leader() == "n0" and len(running_tasks(cluster)) == 3
    cluster.submit("n0", cluster.job(2, parts=2))
    for _ in range(4):
        cluster.step()
    cluster.old_release.clear()
    for name in ("n1", "n2", "n0"):
        cluster.boot(name)
    for _ in range(16):
        cluster.step()
    assert len(running_tasks(cluster)) == 5
    for task_id in running_tasks(cluster):
        cluster.finish(task_id)
    for _ in range(4):
        cluster.step()
    assert {cluster.query(name, f"req-00000{n}") for name in cluster.nodes for n in (1, 2)} == {"done"}


def test_too_large_is_distinguished_from_an_outage(cluster: Cluster) -> None:
    cluster.store.value_bytes = 10
    with pytest.raises(TooLargeError):
        cluster.nodes["n0"].commit_loop.store.compare_and_swap({}, [Put("b/x", "y" * 20)])
    assert cluster.nodes["n0"].limits.value_bytes == 8192, "only a commit of the leader changes the limit"


def test_an_old_leader_without_cancellation_notices_still_stops_cancelled_tasks() -> None:
    """Release 1 has no such notice and answers 404, which counts as delivered.

    It learns of the cancellation from its own watch.
    """
    cluster = cluster_of_old_release()
    upgrade(cluster, "n2")
    assert cluster.leader() in cluster.old_release and "n2" not in cluster.old_release
    notified: list[dict[str, float]] = []

    def notify(cancelled: dict[str, float]) -> bool:
        notified.append(cancelled)
        return True

    cluster.nodes["n2"].notices.notify = dict.fromkeys(cluster.old_release, notify)
    assert cluster.cancel("n2", "req-000001") == "aborted"
    assert cluster.nodes["n2"].notices.send() and cluster.nodes["n2"].notices.send()
    assert [list(cancelled) for cancelled in notified] == [["req-000001"]], (
        "the notice must be sent only once"
    )
    for _ in range(4):
        cluster.step()
    assert not running_tasks(cluster)
