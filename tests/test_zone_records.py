"""Tests of zone recovery: return order, task outcomes, stored records, operator reports and settings."""

import json
from pathlib import Path

import pytest
from cluster_helpers import VALID_SETTINGS
from fakes.cluster import Cluster
from fakes.scenarios import run_for
from hypothesis import given
from hypothesis import strategies as st
from zone_helpers import (
    RECOVERY_POLICY,
    recovery_cluster,
)

from bayford import cli
from bayford.recovery import return_order, zone_record, zone_report
from bayford.recovery.task_outcomes import TaskOutcomes
from bayford.scheduling.model import Machine
from bayford.storage import records
from bayford.storage.key_value_store import Put


def test_configured_classes_return_first_and_others_by_priority() -> None:
    cluster = Cluster(policy=RECOVERY_POLICY)
    for number, lane, rank in (
        (1, "trickle", "idle"),
        (2, "sweep", "normal"),
        (3, "extra", "urgent"),
        (4, "hot", "idle"),
    ):
        cluster.submit("n0", cluster.job(number, lane=lane, rank=rank, parts=1))
    cluster.nodes["n0"].watch_cache.pull(0.0)
    jobs = sorted(
        cluster.nodes["n0"].scheduler.state.jobs.values(),
        key=lambda job: return_order.rank(job, RECOVERY_POLICY.return_order),
    )
    assert [job.spec.job_class for job in jobs] == ["hot", "sweep", "extra", "trickle"]
    machine_without_image = Machine(1, "vm", images={99: False})
    assert not return_order.fetch_allowed(jobs[0], machine_without_image), (
        "a machine fetches only one image at a time"
    )
    machine_without_image.images[99] = True
    assert return_order.fetch_allowed(jobs[0], machine_without_image)


OUTCOME_EVENTS = st.lists(
    st.tuples(st.sampled_from(["done", "placed", "cancelled", "over"]), st.integers(0, 2), st.integers(0, 4)),
    max_size=40,
)


@given(st.sets(st.tuples(st.integers(0, 2), st.integers(0, 4))), OUTCOME_EVENTS, st.integers(500, 4096))
def test_each_task_has_one_outcome_and_the_record_fits_and_decodes_to_the_same(
    tasks: set[tuple[int, int]], events: list[tuple[str, int, int]], max_bytes: int
) -> None:
    outcomes = TaskOutcomes(1.0, 2.0, open={(f"req-{job:06d}", task) for job, task in tasks})
    for event, job, task in events:
        key = (f"req-{job:06d}", task)
        if event == "done":
            outcomes.record_finished(key)
        elif event == "placed":
            outcomes.record_rerun(key, "vm-000001")
        elif event == "cancelled":
            outcomes.record_cancelled(key)
        else:
            outcomes.record_ended_unseen(key)
    outcome_sets = [
        outcomes.open,
        outcomes.finished,
        set(outcomes.rerun),
        outcomes.cancelled,
        outcomes.ended_unseen,
    ]
    assert sum(len(keys) for keys in outcome_sets) == len(set().union(*outcome_sets)) == len(tasks)
    assert TaskOutcomes.from_stored(outcomes.to_stored()) == outcomes
    losses = [outcomes.to_stored()] * 12
    value = zone_record.encode(zone_record.ZoneRecord("north", "lost", 1.0, 0, losses), max_bytes)
    assert records.encoded_size(value) <= max_bytes
    last = zone_record.decode(json.loads(json.dumps(value))).losses[-1]
    assert sum(last.totals().values()) == len(tasks), "listed or counted, none is left out"


@pytest.mark.parametrize(
    "stored_value",
    [
        None,
        [],
        {"zone": "north"},
        {"zone": "n", "state": "up", "since": 1.0, "v": 9},
        {"zone": "north", "state": "lost", "since": None},
        *(
            {"zone": "north", "state": "up", "since": 1.0, "losses": [{"suspected": 1.0, "open": tasks}]}
            for tasks in ({"j": [0]}, {"j": [4, 2]}, {"j": [-1, 0]}, {"j": [0, 10**12]})
        ),
    ],
)
def test_an_unreadable_zone_record_is_an_error_and_counts_as_absent(
    stored_value: object, caplog: pytest.LogCaptureFixture
) -> None:
    with pytest.raises(zone_record.UnreadableRecordError):
        zone_record.decode(stored_value)
    cluster = recovery_cluster()
    cluster.store._change([put_zone_record("north", stored_value or 0)])
    cluster.boot(cluster.require_leader())
    run_for(cluster, 10.0, cloud=True)
    assert any("treated as absent" in record.getMessage() for record in caplog.records)
    cluster.submit("n0", cluster.job(9, crew="open"))
    run_for(cluster, 5.0)
    assert cluster.query("n0", "req-000009") == "running"


@pytest.mark.parametrize("state", ["up", "suspect", "lost", "returning", "gone"])
def test_a_record_from_the_future_or_with_an_unknown_state_closes_no_zone_for_ever(
    state: str, caplog: pytest.LogCaptureFixture
) -> None:
    cluster = recovery_cluster()
    cluster.cloud.delete([worker.name for worker in cluster.workers.values() if worker.zone == "south"])
    future = cluster.clock.wall() + 1e9
    value = {
        "zone": "south",
        "state": state,
        "since": future,
        "losses": [{"suspected": future, "lost": future}],
    }
    cluster.store._change([put_zone_record("south", value)])
    cluster.boot(cluster.require_leader())
    run_for(cluster, 40.0)
    cluster.machine(zone="south")
    run_for(cluster, 20.0)
    leader = cluster.nodes[cluster.require_leader()].scheduler
    assert not leader.state.closed_zones
    message = "treated as absent: zone=south" if state == "gone" else "from the future"
    assert any(message in record.getMessage() for record in caplog.records)
    cluster.submit("n0", cluster.job(9, crew="open", yard="south"))
    run_for(cluster, 5.0)
    assert cluster.query("n0", "req-000009") == "running"


def put_zone_record(zone: str, value: object) -> Put:
    """Returns a write that stores `value` as the record of a zone."""
    return Put(zone_record.key(zone), value)


def test_the_zone_report_lists_each_loss_and_its_task_outcomes() -> None:
    loss = zone_record.Loss(
        10.0,
        24.0,
        0.0,
        {"req-000001": [0, 2]},
        {"req-000002": [1, 1]},
        {"req-000003": [zone_record.RerunTask(4, "vm-000009")]},
        {"req-000004": [0, 0, 3, 4]},
    )
    zones = [
        zone_record.ZoneRecord("south", "lost", 24.0, 1, [loss]),
        zone_record.ZoneRecord("north", "up", 0.0),
    ]
    text = zone_report.as_text(zones)
    for excerpt in (
        "zone south: lost since 1970-01-01 00:00:24 UTC, 1 flaps",
        "not back",
        "8 tasks: 1 finished there, 1 run again, 3 cancelled, 0 over when a leader began, 3 open\n",
        "req-000003 run again: 4 on vm-000009",
        "req-000001 open: 0-2",
        "req-000004 cancelled: 0, 3-4",
        "zone north: up",
        "never lost",
    ):
        assert excerpt in text
    assert json.loads(zone_report.as_json(zones))["zones"][0]["losses"][0]["totals"]["again"] == 1
    assert zone_report.as_text([]) == "no zone was ever lost"


def test_the_zones_command_reports_that_the_state_service_does_not_answer(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS)
    assert cli.main(["zones", "--config", str(path)]) == 1
    assert "state service at 127.0.0.1:5 is out" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ('return_order = ["seep"]', "return_order: 'seep'"),
        ('extra_classes = ["hot"]\nreturn_order = ["hot", "hot"]', "return_order"),
        ("recovery_settle_leases = -1.0", "recovery_settle_leases"),
        ("recovery_flap_memory_s = -1.0", "recovery_flap_memory_s"),
        ("recovery_least = 1.5", "recovery_least"),
    ],
)
def test_an_invalid_recovery_setting_is_named(
    line: str, field: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    settings, script = tmp_path / "settings.toml", tmp_path / "p.star"
    settings.write_text(VALID_SETTINGS)
    script.write_text(line + "\n")
    assert cli.main(["check-config", "--config", str(settings), "--script", str(script)]) == 2
    assert field in capsys.readouterr().err
