"""Two versions side by side: what they share in the state service, limits that fall, and who takes over."""

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
from bayford.coordination.workers.relay import decode_heartbeats
from bayford.protocol import mesh, workers
from bayford.storage import load_summary, records, row_builder, task_log
from bayford.storage.key_value_store import Put, Row, TooLargeError

# Each form as the version in production writes it, made once by that version.
GOLDEN = json.loads((Path(__file__).parent / "fixtures" / "production.json").read_text())
NEXT_LIMITS = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0"


def golden_task_log() -> task_log.TaskLog:
    log = task_log.TaskLog(GOLDEN["layout_bytes"])
    log.rebuild([tuple(row) for row in GOLDEN["rows"]])
    return log


def progress_of(log: task_log.TaskLog) -> dict[str, Any]:
    return {
        job: {"open": {str(t): list(p) for t, p in sorted(g.open.items())}, "done": sorted(g.done)}
        for job, g in sorted(log.jobs.items())
    }


def shape(value: object) -> Any:
    """The form of a value without its contents: what a reader that takes no unknown fields compares."""
    if isinstance(value, dict):
        return {k: shape(v) for k, v in value.items()}
    return [type(v).__name__ for v in value] if isinstance(value, list) else type(value).__name__


# -- formats ---------------------------------------------------------------------------------------------


def test_records_of_production_are_read_and_written_back_as_they_were() -> None:
    for value in GOLDEN["records"]:
        record = records.decode(value)
        assert records.encode(record) == value, "an old reader takes no other fields, and no fewer"
        assert records.encode_within(record, 2048) == value
    array, daemon = (records.decode(value) for value in GOLDEN["records"][:2])
    assert not array.is_final and daemon.spec.shape == "service" and daemon.spec.tasks == 6


def test_rows_of_production_add_up_and_a_short_row_after_them_has_their_form() -> None:
    log = golden_task_log()
    assert progress_of(log) == GOLDEN["state"]
    assert [
        log.next,
        log.tail,
        log.next_attempt,
        [list(s) for s in log.next_slots(3)],
    ] == GOLDEN["next"]
    known = {key for _, _, row in GOLDEN["rows"] for key in row} | {"x", "c"}
    rows = [tuple(row) for row in GOLDEN["rows"]]
    version = 1000
    for _ in range(120):
        maker = row_builder.RowBuilder(log, log.next, log.reclaimable_tail(), log.next_attempt, 2048)
        maker.add_snapshots()
        slot, _ = log.next_slots(1)[0]
        value = orjson.loads(orjson.dumps(maker.build()))
        assert set(value) <= known, "an old reader takes no unknown field"
        assert len(orjson.dumps(value)) <= 2048
        version += 1
        log.apply_row(slot, version, value)
        rows = [row for row in rows if row[0] != slot] + [(slot, version, value)]
    assert progress_of(log) == GOLDEN["state"]
    fresh = task_log.TaskLog(GOLDEN["layout_bytes"])
    fresh.rebuild(rows)
    assert progress_of(fresh) == GOLDEN["state"]
    assert max(len(orjson.dumps(value)) for _, _, value in rows if value["n"] >= fresh.tail) <= 2048


def test_relay_values_summaries_status_and_responses_of_production_are_read_and_still_written_so() -> None:
    name, heartbeats = decode_heartbeats(Row("b/relay/n2/0", GOLDEN["relay"], 5), GOLDEN["relay"]["at"])
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


def test_the_leadership_record_and_the_members_keep_the_form_that_an_old_controller_compares() -> None:
    cluster = started_cluster(nodes=2)
    assert shape(cluster.store.rows["b/map"][0]).keys() == shape(GOLDEN["map"]).keys()
    for name in cluster.nodes:
        assert isinstance(cluster.store.rows[f"b/member/{name}"][0], str) and isinstance(
            GOLDEN["member"], str
        )


def test_a_leadership_record_with_many_teams_is_cut_to_what_every_version_reads() -> None:
    cluster = started_cluster(nodes=2)
    node = cluster.nodes["n0"]
    node.membership._teams = [f"team-{n:03d}-of-a-long-name" for n in range(200)]
    node.limits.value_bytes = cluster.store.value_bytes = 1024
    assert node.membership.acquire_leadership("n0")
    value = cluster.store.rows["b/map"][0]
    leader = next(iter(value["owners"].values()))  # as production reads it
    assert leader == "n0" and value["members"][leader] == node.incarnation
    cluster.step()
    assert cluster.leader() == "n0"


def load(cluster: Cluster, tasks: int) -> None:
    """Four machines, an array of small tasks and a service beside it."""
    for _ in range(4):
        cluster.machine()
    cluster.submit("n0", cluster.job(1, parts=tasks, crew="blue", cpus=0.25))
    cluster.submit("n0", cluster.service(2, loaners=True))


# -- limits ----------------------------------------------------------------------------------------------


def test_the_smaller_of_both_limits_is_kept_to_and_each_may_be_absent_or_larger() -> None:
    state = started_cluster().settings("n0").facts.state
    coming = msgspec.convert({"value_kb": 2.0, "txn_ops": 40}, type(state).__annotations__["next"])
    limits = StoreLimits(msgspec.structs.replace(state, next=coming))
    assert (limits.value_bytes, limits.txn_ops, limits.write_rps, limits.layout_bytes) == (
        2048,
        12,
        1000.0,
        8192,
    )


@pytest.mark.parametrize("known", [True, False])
def test_limits_that_fall_under_full_load_stop_nothing(known: bool) -> None:
    """Unless it is known beforehand, what is refused for its size must not be tried for ever as it is."""
    cluster = started_cluster(
        machines=0, value_kb=1.5, next_limits="value_kb = 0.5\ntxn_ops = 4" if known else ""
    )
    load(cluster, 200)
    for _ in range(4):
        cluster.step()
    cluster.store.value_bytes, cluster.store.txn_ops = 512, 4
    for _ in range(40):
        for task_id in running_tasks(cluster):
            if task_id.startswith("req-000001"):
                cluster.finish(task_id)
        cluster.step()
    assert cluster.query("n0", "req-000001") == "done"
    assert [p for p in running_tasks(cluster) if p.startswith("req-000002")] == [
        "req-000002/0",
        "req-000002/1",
    ]
    assert cluster.cancel("n0", "req-000002") == "aborted"
    for _ in range(4):
        cluster.step()
    assert running_tasks(cluster) == []
    assert (cluster.store.too_large_count == 0) is known
    assert cluster.store.too_large_count < 12


def test_a_record_accepted_under_the_old_limit_is_rewritten_in_what_fits() -> None:
    long = "x" * 190
    cluster = started_cluster(machines=2, value_kb=2.0)
    cluster.submit("n0", cluster.job(1, lane=long, bundle=long, cpus=4.0))
    cluster.submit("n0", cluster.job(2, lane=long, bundle=long))
    for _ in range(3):
        cluster.step()
    cluster.store.value_bytes = 400
    assert cluster.cancel("n0", "req-000002") is None, "refused as it stands"
    cluster.nodes["n0"].limits.value_bytes = 400
    assert cluster.cancel("n0", "req-000002") == "aborted"
    for task_id in running_tasks(cluster):
        cluster.finish(task_id)
    for _ in range(6):
        cluster.step()
        for task_id in running_tasks(cluster):
            cluster.finish(task_id)
    assert cluster.query("n0", "req-000001") == "done"
    cluster.boot("n0")  # and what is left of it is still read
    for _ in range(12):
        cluster.step()
    assert cluster.query("n0", "req-000001") == "done"
    assert cluster.query("n0", "req-000002") == "aborted"


def test_a_submission_that_does_not_fit_the_limit_to_come_is_refused_for_good() -> None:
    cluster = started_cluster(next_limits="value_kb = 0.5")
    status, body, _ = cluster.nodes["n0"].submit(cluster.job(1, lane="x" * 200, bundle="é" * 200))
    assert status == 400 and b"bytes" in body
    assert cluster.nodes["n0"].query("req-000001")[0] == 404
    assert cluster.submit("n0", cluster.job(2)) == 201


def test_a_relay_row_that_is_refused_does_not_keep_the_others_from_being_written(cluster: Cluster) -> None:
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


def test_a_summary_is_written_value_by_value_and_a_refusal_costs_one() -> None:
    """All values at once, tried again and again on credit, took the whole rate: nothing was committed for 66
    s."""
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


def test_the_layout_outlives_settings_with_a_new_limit() -> None:
    """The number of a block follows from the size of a value once and for all; read with another, the
    snapshots of tasks that run would name other tasks."""
    cluster = started_cluster(machines=0, value_kb=1.5)
    load(cluster, 90)  # so many that the log is long enough for snapshots
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


def test_a_layout_that_cannot_be_read_is_no_reason_to_guess() -> None:
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


# -- who takes over --------------------------------------------------------------------------------------


def cluster_of_old_release(machines: int = 2) -> Cluster:
    """Three old controllers, an old leader, and work that runs."""
    cluster = Cluster(3, next_limits=NEXT_LIMITS, old_release=["n0", "n1", "n2"])
    for _ in range(machines):
        cluster.machine()
    cluster.submit("n0", cluster.job(1, parts=3))
    for _ in range(4):
        cluster.step()
    assert cluster.leader() == "n0" and len(running_tasks(cluster)) == 3
    return cluster


def upgrade(cluster: Cluster, name: str) -> None:
    """It is killed and comes back with the new version, a while later."""
    del cluster.nodes[name]
    for _ in range(8):
        cluster.step()
    cluster.old_release.discard(name)
    cluster.boot(name)


def test_the_first_new_controller_takes_over_from_an_old_leader_and_it_is_the_only_failover() -> None:
    cluster = cluster_of_old_release()
    fencing_token = cluster.nodes["n0"].membership.record.fencing_token
    for name in ("n2", "n1", "n0"):
        upgrade(cluster, name)
        for _ in range(20):
            cluster.step()
        assert cluster.leader() == "n2", "not handed to one that is still to go, nor back"
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
        cluster.step()  # it has got the status of all
    cluster.mesh_cuts.add("n1")
    for _ in range(20):
        cluster.step()
    assert cluster.leader() == "n0"
    cluster.mesh_cuts.clear()
    for _ in range(4):
        cluster.step()
    assert cluster.leader() == "n2"


def test_a_new_controller_comes_before_an_old_one_when_the_leader_is_gone() -> None:
    cluster = cluster_of_old_release()
    upgrade(cluster, "n1")
    cluster.mesh_cuts.add("n2")  # so that it does not take over while the leader lives
    cluster.step()
    new, old = cluster.nodes["n1"].membership, cluster.nodes["n2"].membership
    assert new.failover_delay_s() < old.failover_delay_s() and new.failover_delay_s() == 0.0
    cluster.old_release.discard("n0")  # as if n0 were new, too
    cluster.nodes["n1"].peers.releases["n0"] = mesh.RELEASE
    assert new.failover_delay_s() > 0.0


def test_a_controller_that_comes_back_old_within_an_instant_takes_nothing_and_loses_nothing() -> None:
    cluster = cluster_of_old_release()
    upgrade(cluster, "n2")
    for _ in range(20):
        cluster.step()
    assert cluster.leader() == "n2"
    cluster.boot("n0")  # old, since its turn has not come
    cluster.boot("n0")
    for _ in range(10):
        cluster.step()
    assert cluster.leader() == "n2" and len(running_tasks(cluster)) == 3
    # An old leader of what a new one wrote, and a new one of what an old one wrote.
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
    assert cluster.nodes["n0"].limits.value_bytes == 8192, "only a commit of the leader changes it"


def test_an_old_leader_is_not_notified_of_cancellations_and_stops_their_tasks_all_the_same() -> None:
    """Release 1 knows no such notice and answers 404, which counts as notified: its own watch shows it."""
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
    assert [list(cancelled) for cancelled in notified] == [["req-000001"]], "once, and not again and again"
    for _ in range(4):
        cluster.step()
    assert not running_tasks(cluster)
