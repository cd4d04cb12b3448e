"""Loss and return of zones: the state machine, the records, and the leader in the simulated cluster."""

import json
import random

import pytest
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bayford import cli
from bayford.recovery import return_order, zone_record, zone_report
from bayford.recovery.task_outcomes import TaskOutcomes
from bayford.recovery.zone_health import (
    HealthTimes,
    LeadershipFacts,
    ZoneFacts,
    ZoneState,
    ZoneStatus,
    advance,
    blindness,
)
from bayford.scheduling import scaling
from bayford.scheduling.model import Machine
from bayford.scheduling.policy import Policy
from bayford.storage import records

RECOVER = Policy(
    hold_s=0.0,
    hold_idle_s=0.0,
    recovery=True,
    return_order=("hot", "sweep"),
    extra_classes=("hot", "sweep"),
    keep_idle_s=1e6,
    surplus_idle_s=1e6,
    on_demand_idle_s=1e6,
)
TIMES = HealthTimes(lease_s=12.0, heartbeat_interval_s=2.0)
VERIFIED = LeadershipFacts(True, True, 100.0)
WELL, SILENT = ZoneFacts(8, 8, 8), ZoneFacts(8, 0, 0)
NORTH, SOUTH, WEST = 0, 1, 2


# -- the state machine


def play(
    looks: list[tuple[float, ZoneFacts]], leader: LeadershipFacts = VERIFIED, others: ZoneFacts = WELL
) -> list[ZoneStatus]:
    status = ZoneStatus()
    out = []
    for now, facts in looks:
        unknown = blindness(leader, {NORTH: others, SOUTH: facts}, SOUTH, TIMES)
        status = advance(status, facts, unknown, now, TIMES)
        out.append(status)
    return out


def test_a_zone_is_lost_after_its_leases_and_up_after_it_has_settled():
    looks = [
        (0.0, WELL),
        (10.0, SILENT),
        (23.0, SILENT),
        (24.0, SILENT),
        (60.0, WELL),
        (71.0, WELL),
        (72.0, WELL),
    ]
    assert [s.state.value for s in play(looks)] == [
        "up",
        "suspect",
        "suspect",
        "lost",
        "returning",
        "returning",
        "up",
    ]


@pytest.mark.parametrize(
    ("leader", "others"),
    [
        (LeadershipFacts(False, True, 100.0), WELL),  # not sure to be the leader
        (LeadershipFacts(True, False, 100.0), WELL),  # the state service is out
        (LeadershipFacts(True, True, 3.0), WELL),  # it has just begun to listen, or stood still
        (VERIFIED, SILENT),  # nobody is heard: it is this leader that is cut off
        (VERIFIED, ZoneFacts(0, 0, 0)),  # a site of one zone
    ],
)
def test_who_cannot_know_does_nothing(leader, others):
    assert {s.state for s in play([(t, SILENT) for t in (0.0, 10.0, 30.0, 300.0)], leader, others)} == {
        ZoneState.UP
    }


@pytest.mark.parametrize("facts", [ZoneFacts(8, 3, 3), ZoneFacts(2, 0, 0)])
def test_single_lost_machines_are_not_a_lost_zone(facts):
    assert {s.state for s in play([(t, facts) for t in (0.0, 30.0, 300.0)])} == {ZoneState.UP}


def test_a_zone_that_flaps_takes_longer_to_be_up_each_time():
    looks = [
        (0.0, WELL),
        (5.0, SILENT),
        (10.0, WELL),
        (20.0, SILENT),
        (25.0, WELL),
        (40.0, WELL),
        (49.0, WELL),
    ]
    states = [(s.state.value, s.flaps) for s in play(looks)]
    assert states == [
        ("up", 0),
        ("suspect", 0),
        ("up", 0),
        ("suspect", 1),
        ("returning", 1),
        ("returning", 1),
        ("up", 1),
    ]
    assert TIMES.settle_s(2) == 2 * TIMES.settle_s(1) == 4 * TIMES.lease_s


def test_two_zones_lost_one_after_the_other():
    zones = {NORTH: WELL, SOUTH: SILENT, WEST: WELL}
    assert blindness(VERIFIED, zones, SOUTH, TIMES) == ""
    zones[WEST] = SILENT
    assert blindness(VERIFIED, zones, WEST, TIMES) == blindness(VERIFIED, zones, SOUTH, TIMES) == ""
    zones[NORTH] = SILENT
    assert "fault may be here" in blindness(VERIFIED, zones, WEST, TIMES)


def test_a_zone_without_machines_is_tried_again_after_a_while():
    status = ZoneStatus(ZoneState.LOST, since=0.0, suspected=-14.0, lost=0.0)
    nobody = ZoneFacts(0, 0, 0)
    assert advance(status, nobody, "", 11.0, TIMES).state is ZoneState.LOST
    assert advance(status, nobody, "", 12.0, TIMES).state is ZoneState.RETURNING


# -- order, fates, records


def test_named_classes_come_first_and_others_by_priority():
    cluster = Cluster(policy=RECOVER)
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
        key=lambda job: return_order.rank(job, RECOVER.return_order),
    )
    assert [job.spec.job_class for job in jobs] == ["hot", "sweep", "extra", "trickle"]
    cold = Machine(1, "vm", images={99: False})
    assert not return_order.fetch_allowed(jobs[0], cold), "one fetch at a time on a cold link"
    cold.images[99] = True
    assert return_order.fetch_allowed(jobs[0], cold)


fate_events = st.lists(
    st.tuples(st.sampled_from(["done", "placed", "cancelled", "over"]), st.integers(0, 2), st.integers(0, 4)),
    max_size=40,
)


@given(st.sets(st.tuples(st.integers(0, 2), st.integers(0, 4))), fate_events, st.integers(500, 4096))
def test_each_task_has_one_fate_and_the_record_fits_and_comes_back(tasks, events, most):
    outcomes = TaskOutcomes(1.0, 2.0, open={(f"req-{job:06d}", task) for job, task in tasks})
    for event, job, task in events:
        key = (f"req-{job:06d}", task)
        if event == "done":
            outcomes.note_done(key)
        elif event == "placed":
            outcomes.note_placed(key, "vm-000001")
        elif event == "cancelled":
            outcomes.on_cancelled(key)
        else:
            outcomes.note_over(key)
    found = [outcomes.open, outcomes.finished, set(outcomes.again), outcomes.cancelled, outcomes.over]
    assert sum(len(keys) for keys in found) == len(set().union(*found)) == len(tasks)
    assert TaskOutcomes.of(outcomes.record()) == outcomes
    losses = [outcomes.record()] * 12
    value = zone_record.encode(zone_record.ZoneRecord("north", "lost", 1.0, 0, losses), most)
    assert records.size(value) <= most
    last = zone_record.decode(json.loads(json.dumps(value))).losses[-1]
    assert sum(last.totals().values()) == len(tasks), "told or counted, none is left out"


@pytest.mark.parametrize(
    "stored", [None, [], {"zone": "north"}, {"zone": "n", "state": "up", "since": 1.0, "v": 9}]
)
def test_a_record_that_cannot_be_read_is_an_error_and_absent(stored, caplog):
    with pytest.raises(zone_record.UnreadableRecordError):
        zone_record.decode(stored)
    cluster = two_zones()
    cluster.store._change([records_put("north", stored or 0)])
    cluster.boot(cluster.leader())
    run_for(cluster, 10.0, cloud=True)
    assert any("taken for absent" in r.getMessage() for r in caplog.records)
    cluster.submit("n0", cluster.job(9, crew="open"))
    run_for(cluster, 5.0)
    assert cluster.query("n0", "req-000009") == "running"


def records_put(zone, value):
    from bayford.storage.key_value_store import Put

    return Put(zone_record.key(zone), value)


def test_what_operators_read():
    loss = zone_record.Loss(
        10.0,
        24.0,
        0.0,
        {"req-000001": [0, 2]},
        {"req-000002": [1, 1]},
        {"req-000003": [zone_record.Elsewhere(4, "vm-000009")]},
        {"req-000004": [0, 0, 3, 4]},
    )
    zones = [
        zone_record.ZoneRecord("south", "lost", 24.0, 1, [loss]),
        zone_record.ZoneRecord("north", "up", 0.0),
    ]
    text = zone_report.as_text(zones)
    for task_id in (
        "zone south: lost since 1970-01-01 00:00:24 UTC, 1 flaps",
        "not back",
        "8 tasks: 1 finished there, 1 run again, 3 cancelled, 0 over when an owner began, 3 open\n",
        "req-000003 run again: 4 on vm-000009",
        "req-000001 open: 0-2",
        "req-000004 cancelled: 0, 3-4",
        "zone north: up",
        "never lost",
    ):
        assert task_id in text
    assert json.loads(zone_report.as_json(zones))["zones"][0]["losses"][0]["totals"]["again"] == 1
    assert zone_report.as_text([]) == "no zone was ever lost"


def test_the_command_says_when_the_state_service_is_out(tmp_path, capsys):
    from test_config import GOOD

    path = tmp_path / "settings.toml"
    path.write_text(GOOD)
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
def test_a_wrong_setting_of_recovery_is_named(line, field, tmp_path, capsys):
    from test_config import GOOD

    settings, script = tmp_path / "settings.toml", tmp_path / "p.star"
    settings.write_text(GOOD)
    script.write_text(line + "\n")
    assert cli.main(["check-config", "--config", str(settings), "--script", str(script)]) == 2
    assert field in capsys.readouterr().err


# -- the leader


def two_zones(machines: int = 8, nodes: int = 3, seed: int = 1) -> Cluster:
    """Machines in two zones, and a leader in the north."""
    cluster = Cluster(nodes, policy=RECOVER, seed=seed)
    cluster.cloud.capacity = 0
    for n in range(machines):
        cluster.machine(zone="south" if n % 2 else "north")
    run_for(cluster, 16.0)  # for longer than a lease: a leader that has just begun can't know
    return cluster


def cut_zone(cluster: Cluster, zone: str = "south") -> None:
    """The zone's machines reach nobody and nobody reaches them."""
    south = [worker.name for worker in cluster.workers.values() if worker.zone == zone]
    cluster.network_cuts |= {(name, node) for name in south for node in cluster.names}


def heal(cluster: Cluster) -> None:
    cluster.network_cuts.clear()


def zone_state(cluster: Cluster, zone: str = "south") -> str:
    leader = cluster.nodes[cluster.leader()].scheduler
    return leader.zone_monitor.statuses[leader.state.zones.find(zone)].state.value


def stored(cluster: Cluster, zone: str = "south") -> zone_record.ZoneRecord:
    return zone_record.decode(cluster.store.rows[zone_record.key(zone)][0])


def in_zone(cluster: Cluster, zone: str = "south") -> list[str]:
    return sorted(task_id for w in cluster.workers.values() if w.zone == zone for task_id in w.running())


def full_of_work(cluster: Cluster, **fields) -> list[str]:
    """A job on every CPU; the tasks in the south."""
    tasks = 4 * len(cluster.workers)
    cluster.submit("n0", cluster.job(1, **({"crew": "open", "parts": tasks, "guess_s": 900.0} | fields)))
    run_for(cluster, 5.0)
    assert len(running_tasks(cluster)) == tasks
    return in_zone(cluster)


def test_a_zone_is_closed_while_it_is_away_and_every_task_has_one_fate():
    cluster = two_zones()
    there = full_of_work(cluster)
    cut_zone(cluster)
    run_for(cluster, 8.0)
    assert zone_state(cluster) == "suspect"
    cluster.submit("n0", cluster.job(2, crew="open", parts=1, yard="south"))
    run_for(cluster, 14.0)
    assert zone_state(cluster) == "lost"
    assert stored(cluster).losses[-1].totals()["open"] == len(there)
    assert cluster.nodes[cluster.leader()].scheduler.state.jobs["req-000002"].waiting == [0], (
        "nothing is placed there"
    )
    heal(cluster)
    run_for(cluster, 50.0)
    assert zone_state(cluster) == "up"
    loss = stored(cluster).losses[-1]
    assert loss.returned > loss.lost > loss.suspected
    assert loss.totals() == {"open": 0, "finished": 0, "cancelled": 0, "over": 0, "again": len(there)}
    assert len(set(running_tasks(cluster))) == len(running_tasks(cluster))


def test_nothing_is_placed_where_a_zone_is_suspect_and_only_on_machines_that_are_surely_back():
    cluster = two_zones()
    cut_zone(cluster)
    run_for(cluster, 7.0)
    assert zone_state(cluster) == "suspect"
    cluster.submit("n0", cluster.job(2, crew="open", parts=2, yard="south"))
    run_for(cluster, 14.0)
    scheduler = cluster.nodes[cluster.leader()].scheduler
    assert zone_state(cluster) == "lost"
    assert scheduler.state.jobs["req-000002"].open == {}, (
        "there is room on machines that nobody has heard of for a while"
    )
    south = [m for m in scheduler.state.machines.values() if scheduler.state.zones[m.zone] == "south"]
    for machine in south:
        machine.images[77] = True
        scheduler.state.capacity_index.holds(machine, 77)
    heal(cluster)
    while zone_state(cluster) == "lost":
        run_for(cluster, 0.5)
    assert not any(77 in machine.images for machine in south), "it may be cold"
    assert zone_state(cluster) == "returning" and not scheduler.state.verified_machines
    scheduler.round()
    assert scheduler.state.jobs["req-000002"].open == {}, "one report may have been held back by the cut"
    run_for(cluster, 6.0)
    assert len(in_zone(cluster)) == 2


def test_only_a_few_machines_are_launched_into_a_zone_of_which_nothing_answers():
    cluster = two_zones()
    scheduler = cluster.nodes[cluster.leader()].scheduler
    scheduler.state.returning_zones = frozenset({scheduler.state.zones.find("south")})
    deleted_machines = [
        m for m in scheduler.state.machines.values() if m.zone not in scheduler.state.returning_zones
    ]
    present = [(scaling.MachinePool(m.type, m.zone, m.spot), m) for m in deleted_machines]
    south, north = (
        scaling.MachinePool(0, scheduler.state.zones.find(name), True) for name in ("south", "north")
    )
    wanted = [scaling.LaunchPlan(south, 20, "backlog"), scaling.LaunchPlan(north, 20, "backlog")]
    assert [r.count for r in scheduler.autoscaler._paced(wanted, present)] == [RECOVER.recovery_least, 20]
    scheduler.state.launching[south] = 2
    assert [r.count for r in scheduler.autoscaler._paced(wanted, present)] == [1, 20]
    scheduler.state.verified_machines = frozenset(
        {next(m.index for m in scheduler.state.machines.values() if m not in deleted_machines)}
    )
    present += [(south, scheduler.state.machines[index]) for index in scheduler.state.verified_machines]
    assert [r.count for r in scheduler.autoscaler._paced(wanted, present)] == [20, 20]

    scheduler.state.verified_machines = frozenset()
    scheduler.state.launching.clear()
    scheduler.deleted([m.name for m in scheduler.state.machines.values() if m.zone == south.zone])
    cluster.submit("n0", cluster.job(1, crew="open", parts=80, guess_s=900.0, yard="south"))
    cluster.nodes[cluster.leader()].watch_cache.pull(0.0)
    step = scheduler.scaling_step(cluster.clock.now)
    assert [(order.zone, order.count) for order in step.launches] == [("south", RECOVER.recovery_least)]


def test_cancelled_during_the_cut():
    cluster = two_zones()
    there = full_of_work(cluster)
    cut_zone(cluster)
    run_for(cluster, 22.0)
    assert cluster.cancel("n0", "req-000001") == "aborted"
    run_for(cluster, 30.0)  # the machines' epochs have ended, the silent ones are deleted
    heal(cluster)
    run_for(cluster, 60.0)
    assert running_tasks(cluster) == []
    assert stored(cluster).losses[-1].totals()["cancelled"] == len(there)


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_a_task_that_ends_on_a_machine_that_was_declared_lost(when):
    """Its heartbeat comes before the task is requeued, while it waits, or after another attempt has ended."""
    cluster = two_zones()
    there = full_of_work(cluster)
    task_id = there[0]
    worker = next(w for w in cluster.workers.values() if task_id in w.running())
    cut_zone(cluster)
    run_for(cluster, 8.0)
    worker.finish(task_id)
    cluster.done_tasks.add(task_id)
    late = worker.heartbeat()
    run_for(cluster, {"before": 4.0, "during": 34.0, "after": 34.0}[when])
    if when == "after":
        heal(cluster)
        for _ in range(4):  # room for what was lost
            cluster.machine(zone="north")
        run_for(cluster, 30.0)
        cluster.finish(task_id)
        run_for(cluster, 4.0)
    cluster.replay(late, cluster.leader())
    run_for(cluster, 4.0)
    heal(cluster)
    run_for(cluster, 40.0)
    leader = cluster.nodes[cluster.leader()].scheduler
    if when == "during":
        assert worker.name in cluster.cloud.deleted, (
            "its machine is gone by then, and what it says counts for nothing"
        )
    job = leader.state.jobs["req-000001"]
    task = int(task_id.split("/")[1])
    assert task not in job.open or task not in job.done
    assert len(set(running_tasks(cluster))) == len(running_tasks(cluster))


def test_late_copies_after_the_return_open_and_close_nothing():
    cluster = two_zones()
    full_of_work(cluster)
    copies = [worker.heartbeat() for worker in cluster.workers.values()]
    cut_zone(cluster)
    run_for(cluster, 22.0)
    heal(cluster)
    run_for(cluster, 6.0)
    before = running_tasks(cluster), zone_state(cluster)
    for copy in copies:
        cluster.replay(copy, cluster.leader())
    scheduler = cluster.nodes[cluster.leader()].scheduler
    scheduler.round()
    assert (running_tasks(cluster), zone_state(cluster)) == before
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster)))


def test_the_leader_ends_in_the_middle_of_the_return():
    cluster = two_zones()
    there = full_of_work(cluster)
    cut_zone(cluster)
    run_for(cluster, 22.0)
    assert zone_state(cluster) == "lost"
    heal(cluster)
    run_for(cluster, 4.0)
    first = cluster.leader()
    del cluster.nodes[first]
    run_for(cluster, 5.0)
    assert cluster.leader() not in (None, first)
    assert zone_state(cluster) in ("lost", "returning"), "the new owner goes on with what is stored"
    run_for(cluster, 60.0)
    assert zone_state(cluster) == "up"
    totals = stored(cluster).losses[-1].totals()
    assert totals["open"] == 0 and sum(totals.values()) == len(there)
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster))) == 4 * len(cluster.workers)


def test_what_ended_between_two_leaders_is_told_as_that():
    """It was told as cancelled, since its job was gone."""
    cluster = two_zones()
    cluster.submit("n0", cluster.job(1, crew="open", parts=4, yard="south", guess_s=900.0))
    cluster.submit("n0", cluster.job(2, crew="open", parts=2, yard="south", guess_s=900.0))
    run_for(cluster, 5.0)
    there = in_zone(cluster)
    assert len(there) == 6
    cut_zone(cluster)
    run_for(cluster, 22.0)
    leader = cluster.leader()
    scheduler = cluster.nodes[leader].scheduler
    record_then = cluster.store.rows[zone_record.key("south")]
    heal(cluster)
    run_for(cluster, 24.0)  # it all runs again; two tasks end, and one job is over
    for task_id in in_zone(cluster):
        if task_id.startswith("req-000002"):
            cluster.finish(task_id)
    run_for(cluster, 4.0)
    assert cluster.query("n0", "req-000002") == "done" and scheduler.leader
    cluster.store.rows[zone_record.key("south")] = record_then  # the last record that was written before
    cluster.boot(leader)
    run_for(cluster, 8.0)
    totals = stored(cluster).losses[-1].totals()
    assert totals["over"] == 2 and totals["cancelled"] == 0 and sum(totals.values()) == 6


def test_an_leader_in_the_lost_zone_gives_way_and_the_next_one_tells_the_loss():
    cluster = two_zones()
    full_of_work(cluster)
    leader = cluster.leader()
    zone = cluster.nodes[leader].settings.site
    cut_zone(cluster, zone)
    for name, node in cluster.nodes.items():
        if node.settings.site == zone:
            cluster.store.unreachable_from.add(name)
            cluster.mesh_cuts.add(name)
            cluster.network_cuts |= {(worker, name) for worker in cluster.workers}
    run_for(cluster, 50.0)
    others = [name for name, node in cluster.nodes.items() if node.settings.site != zone]
    for name in others:
        if cluster.nodes[name].scheduler.leader:
            watch = cluster.nodes[name].scheduler.zone_monitor
            lost = cluster.nodes[name].scheduler.state.zones.find(zone)
            assert watch.statuses[lost].state is not ZoneState.UP
            assert sum(watch.losses[lost][0].record().totals().values()) == 16
            break
    else:
        pytest.fail("nobody took over")
    cluster.store.unreachable_from.clear()
    cluster.mesh_cuts.clear()
    heal(cluster)
    run_for(cluster, 90.0)
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster)))


@pytest.mark.parametrize("back_first", [True, False])
def test_the_state_service_is_out_as_the_zone_returns(back_first):
    cluster = two_zones()
    full_of_work(cluster)
    cut_zone(cluster)
    run_for(cluster, 22.0)
    assert zone_state(cluster) == "lost"
    cluster.store.down = True
    run_for(cluster, 4.0)
    if back_first:
        heal(cluster)
        run_for(cluster, 6.0)
    cluster.store.down = False
    heal(cluster)
    run_for(cluster, 60.0)
    assert zone_state(cluster) == "up"
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster))) == 4 * len(cluster.workers)


def test_the_cloud_confirms_a_deletion_while_the_machine_still_heartbeats():
    cluster = two_zones()
    full_of_work(cluster)
    ghost = next(w for w in cluster.workers.values() if w.zone == "south")
    late = ghost.heartbeat()
    cut_zone(cluster)
    run_for(cluster, 40.0)
    assert ghost.name in cluster.cloud.deleted
    before = cluster.nodes[cluster.leader()].scheduler.state.machines.keys()
    cluster.replay(late, cluster.leader())
    assert ghost.name not in {
        cluster.nodes[cluster.leader()].scheduler.state.machine_names[i] for i in before
    }


def test_services_bound_to_the_zone_and_gangs_with_a_part_inside():
    cluster = two_zones()
    cluster.submit("n0", cluster.service(1, crew="open", parts=2, yard="south", loaners=True))
    cluster.submit("n0", cluster.job(2, crew="open", shape="gang", parts=6, guess_s=900.0))
    run_for(cluster, 8.0)
    placed = len(running_tasks(cluster))
    assert placed >= 2
    cut_zone(cluster)
    run_for(cluster, 22.0)
    assert [
        p for p in running_tasks(cluster) if p not in in_zone(cluster) and p.startswith("req-000001")
    ] == []
    heal(cluster)
    run_for(cluster, 60.0)
    assert {p for p in running_tasks(cluster) if p.startswith("req-000001")} == {
        "req-000001/0",
        "req-000001/1",
    }
    assert set(in_zone(cluster)) >= {"req-000001/0", "req-000001/1"}


def test_work_comes_back_in_the_stated_order_and_nobody_is_starved():
    cluster = two_zones()
    full_of_work(cluster)
    cut_zone(cluster)
    run_for(cluster, 36.0)  # until its machines are deleted
    assert zone_state(cluster) in ("lost", "returning")
    for number, lane in ((2, "trickle"), (3, "sweep"), (4, "hot")):
        cluster.submit(
            "n0",
            cluster.job(
                number, lane=lane, crew="open", parts=4, guess_s=900.0, yard="south", bundle=f"img-{lane}"
            ),
        )
    heal(cluster)
    cluster.cloud.capacity = 0
    for _ in range(2):  # room for two of the three
        cluster.machine(zone="south")
    run_for(cluster, 16.0)
    assert {task_id[:10] for task_id in in_zone(cluster)} == {"req-000004", "req-000003"}, "hot, then sweep"
    jobs = cluster.nodes[cluster.leader()].scheduler.state.jobs
    hot, sweep = (
        [placement.attempt for placement in jobs[name].open.values()] for name in ("req-000004", "req-000003")
    )
    assert max(hot) < min(sweep)
    for task_id in in_zone(cluster):
        if task_id.startswith("req-000004"):
            cluster.finish(task_id)
    run_for(cluster, 20.0)
    assert {task_id[:10] for task_id in in_zone(cluster)} == {"req-000003", "req-000002"}, "nobody is starved"


# -- whatever happens


class ZonesUnderTrouble(RuleBasedStateMachine):
    """Random cuts, returns, reports, copies, cancels and failovers; the rules are checked at each step."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed):
        self.cluster = two_zones(machines=6, seed=seed)
        self.copies = []
        self.number = 0
        self.rng = random.Random(seed)

    @rule(
        parts=st.integers(1, 8),
        lane=st.sampled_from(["hot", "sweep", "trickle"]),
        yard=st.sampled_from([None, "south"]),
    )
    def submit(self, parts, lane, yard):
        self.number += 1
        job = self.cluster.job(self.number, crew="open", parts=parts, lane=lane, yard=yard, guess_s=900.0)
        self.cluster.submit(self.rng.choice(sorted(self.cluster.nodes)), job)

    @rule(zone=st.sampled_from(["south", "north"]))
    def cut(self, zone):
        cut_zone(self.cluster, zone)

    @rule()
    def heal(self):
        heal(self.cluster)

    @rule()
    def copy_reports(self):
        self.copies += [worker.heartbeat() for worker in self.cluster.workers.values()]

    @precondition(lambda self: self.copies)
    @rule()
    def late_copies(self):
        for copy in self.copies[-6:]:
            self.cluster.replay(copy, self.rng.choice(sorted(self.cluster.nodes)))

    @precondition(lambda self: self.cluster.accepted)
    @rule()
    def cancel(self):
        self.cluster.cancel("n0", self.rng.choice(sorted(self.cluster.accepted)))

    @rule()
    def finish_some(self):
        for task_id in running_tasks(self.cluster)[::3]:
            self.cluster.finish(task_id)

    @precondition(lambda self: self.cluster.leader() is not None)
    @rule()
    def end_leader(self):
        self.cluster.boot(self.cluster.leader())

    @rule(seconds=st.sampled_from([1.0, 4.0, 14.0]))
    def time_passes(self, seconds):
        run_for(self.cluster, seconds)

    @invariant()
    def rules_hold(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.check()
        assert len(running_tasks(self.cluster)) == len(set(running_tasks(self.cluster)))
        leader = self.cluster.leader()
        if leader is None:
            return
        scheduler = self.cluster.nodes[leader].scheduler
        for losses in scheduler.zone_monitor.losses.values():
            for outcomes in losses:
                sets = [
                    outcomes.open,
                    outcomes.finished,
                    set(outcomes.again),
                    outcomes.cancelled,
                    outcomes.over,
                ]
                assert sum(len(found) for found in sets) == len(set().union(*sets))

    def teardown(self):
        if hasattr(self, "cluster"):
            heal(self.cluster)
            run_for(self.cluster, 90.0)
            for job_id in sorted(self.cluster.accepted):
                assert self.cluster.query("n0", job_id) is not None, "known to the end"


TestZonesUnderTrouble = ZonesUnderTrouble.TestCase
TestZonesUnderTrouble.settings = __import__("hypothesis").settings(
    max_examples=12, stateful_step_count=16, deadline=None, derandomize=True, database=None
)
