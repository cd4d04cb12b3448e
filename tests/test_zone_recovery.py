"""Tests of the loss and the return of a zone in the simulated cluster."""

import pytest
from cluster_helpers import leader_of
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks
from zone_helpers import (
    RECOVERY_POLICY,
    cut_zone_off,
    fill_with_one_job,
    reconnect_zones,
    recovery_cluster,
    running_in_zone,
    stored_zone_record,
    zone_index,
    zone_state,
)

from bayford.coordination.workers import relay
from bayford.recovery import zone_record
from bayford.recovery.zone_health import (
    ZoneState,
)
from bayford.scheduling import scaling


@pytest.fixture(name="cluster")
def _cluster() -> Cluster:
    return recovery_cluster()


def test_a_lost_zone_gets_no_work_and_every_task_has_one_outcome(cluster: Cluster) -> None:
    lost_tasks = fill_with_one_job(cluster)
    cut_zone_off(cluster)
    run_for(cluster, 8.0)
    assert zone_state(cluster) == "suspect"
    cluster.submit("n0", cluster.job(2, crew="open", parts=1, yard="south"))
    run_for(cluster, 14.0)
    assert zone_state(cluster) == "lost"
    assert stored_zone_record(cluster).losses[-1].totals()["open"] == len(lost_tasks)
    assert leader_of(cluster).scheduler.state.jobs["req-000002"].waiting == [0], (
        "no task is placed in the lost zone"
    )
    reconnect_zones(cluster)
    run_for(cluster, 50.0)
    assert zone_state(cluster) == "up"
    loss = stored_zone_record(cluster).losses[-1]
    assert loss.returned > loss.lost > loss.suspected
    assert loss.totals() == {"open": 0, "finished": 0, "cancelled": 0, "over": 0, "again": len(lost_tasks)}
    assert len(set(running_tasks(cluster))) == len(running_tasks(cluster))


def test_a_suspect_zone_gets_no_work_and_a_returning_one_only_on_verified_machines(cluster: Cluster) -> None:
    cut_zone_off(cluster)
    run_for(cluster, 7.0)
    assert zone_state(cluster) == "suspect"
    cluster.submit("n0", cluster.job(2, crew="open", parts=2, yard="south"))
    run_for(cluster, 14.0)
    scheduler = leader_of(cluster).scheduler
    assert zone_state(cluster) == "lost"
    assert scheduler.state.jobs["req-000002"].open == {}, (
        "no placement on machines without a recent heartbeat, though they have capacity"
    )
    south = [
        machine
        for machine in scheduler.state.machines.values()
        if machine.zone == zone_index(scheduler, "south")
    ]
    for machine in south:
        machine.images[77] = True
        scheduler.state.capacity_index.add_image(machine, 77)
    reconnect_zones(cluster)
    while zone_state(cluster) == "lost":
        run_for(cluster, 0.5)
    assert not any(77 in machine.images for machine in south), "its image cache may be empty"
    assert zone_state(cluster) == "returning"
    assert not scheduler.state.verified_machines
    scheduler.round()
    assert scheduler.state.jobs["req-000002"].open == {}, "the partition may have delayed a single heartbeat"
    run_for(cluster, 6.0)
    assert len(running_in_zone(cluster)) == 2


def test_only_a_few_machines_are_launched_into_a_zone_without_heartbeats(cluster: Cluster) -> None:
    scheduler = leader_of(cluster).scheduler
    scheduler.state.returning_zones = frozenset({zone_index(scheduler, "south")})
    machines_elsewhere = [
        machine
        for machine in scheduler.state.machines.values()
        if machine.zone not in scheduler.state.returning_zones
    ]
    present = [
        scaling.PooledMachine(scaling.MachinePool(machine.type, machine.zone, machine.spot), machine)
        for machine in machines_elsewhere
        if machine.type is not None and machine.zone is not None
    ]
    south, north = (scaling.MachinePool(0, zone_index(scheduler, name), True) for name in ("south", "north"))
    plans = [scaling.LaunchPlan(south, 20, "backlog"), scaling.LaunchPlan(north, 20, "backlog")]
    assert [
        plan.count for plan in scheduler.autoscaler._limit_launches_into_returning_zones(plans, present)
    ] == [
        RECOVERY_POLICY.recovery_least,
        20,
    ]
    scheduler.state.launching[south] = 2
    assert [
        plan.count for plan in scheduler.autoscaler._limit_launches_into_returning_zones(plans, present)
    ] == [1, 20]
    scheduler.state.verified_machines = frozenset(
        {
            next(
                machine.index
                for machine in scheduler.state.machines.values()
                if machine not in machines_elsewhere
            )
        }
    )
    present += [
        scaling.PooledMachine(south, scheduler.state.machines[index])
        for index in scheduler.state.verified_machines
    ]
    assert [
        plan.count for plan in scheduler.autoscaler._limit_launches_into_returning_zones(plans, present)
    ] == [20, 20]


def test_the_autoscaler_launches_only_a_few_machines_into_a_returning_zone(cluster: Cluster) -> None:
    scheduler = leader_of(cluster).scheduler
    south = zone_index(scheduler, "south")
    scheduler.state.returning_zones = frozenset({south})
    scheduler.on_deletion_confirmed(
        [machine.name for machine in scheduler.state.machines.values() if machine.zone == south]
    )
    cluster.submit("n0", cluster.job(1, crew="open", parts=80, guess_s=900.0, yard="south"))
    leader_of(cluster).watch_cache.pull(0.0)
    step = scheduler.scaling_step(cluster.clock.now)
    assert [(order.zone, order.count) for order in step.launches] == [
        ("south", RECOVERY_POLICY.recovery_least)
    ]


def test_a_job_cancelled_during_the_partition_does_not_run_again(cluster: Cluster) -> None:
    lost_tasks = fill_with_one_job(cluster)
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    assert cluster.cancel("n0", "req-000001") == "aborted"
    run_for(cluster, 30.0)  # the epochs of the machines end, and unresponsive machines are deleted
    reconnect_zones(cluster)
    run_for(cluster, 60.0)
    assert running_tasks(cluster) == []
    assert stored_zone_record(cluster).losses[-1].totals()["cancelled"] == len(lost_tasks)


@pytest.mark.parametrize("when", ["before", "during", "after"])
def test_the_late_completion_of_a_task_in_a_lost_zone_causes_no_duplicate(
    cluster: Cluster, when: str
) -> None:
    """The heartbeat with the completion arrives late.

    `when`: before the task is requeued, during its wait, or after the end of another attempt.
    """
    lost_tasks = fill_with_one_job(cluster)
    task_id = lost_tasks[0]
    worker = next(worker for worker in cluster.workers.values() if task_id in worker.running())
    cut_zone_off(cluster)
    run_for(cluster, 8.0)
    worker.finish(task_id)
    cluster.done_tasks.add(task_id)
    late_heartbeat = worker.heartbeat()
    run_for(cluster, {"before": 4.0, "during": 34.0, "after": 34.0}[when])
    if when == "after":
        reconnect_zones(cluster)
        for _ in range(4):  # capacity for the lost tasks
            cluster.machine(zone="north")
        run_for(cluster, 30.0)
        cluster.finish(task_id)
        run_for(cluster, 4.0)
    cluster.replay(late_heartbeat, cluster.require_leader())
    run_for(cluster, 4.0)
    reconnect_zones(cluster)
    run_for(cluster, 40.0)
    leader = leader_of(cluster).scheduler
    if when == "during":
        assert worker.name in cluster.cloud.deleted, (
            "the machine has been deleted, so its heartbeat has no effect"
        )
    job = leader.state.jobs["req-000001"]
    task = int(task_id.split("/")[1])
    assert task not in job.open or task not in job.done
    assert len(set(running_tasks(cluster))) == len(running_tasks(cluster))


def test_late_copies_of_heartbeats_after_the_return_change_nothing(cluster: Cluster) -> None:
    fill_with_one_job(cluster)
    copies = [worker.heartbeat() for worker in cluster.workers.values()]
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    reconnect_zones(cluster)
    run_for(cluster, 6.0)
    before = running_tasks(cluster), zone_state(cluster)
    for copy in copies:
        cluster.replay(copy, cluster.require_leader())
    scheduler = leader_of(cluster).scheduler
    scheduler.round()
    assert (running_tasks(cluster), zone_state(cluster)) == before
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster)))


def test_a_new_leader_completes_the_recovery_of_a_returning_zone(cluster: Cluster) -> None:
    lost_tasks = fill_with_one_job(cluster)
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    assert zone_state(cluster) == "lost"
    reconnect_zones(cluster)
    run_for(cluster, 4.0)
    first = cluster.require_leader()
    del cluster.nodes[first]
    run_for(cluster, 5.0)
    assert cluster.leader() not in (None, first)
    assert zone_state(cluster) in ("lost", "returning"), "the new leader continues from the stored record"
    run_for(cluster, 60.0)
    assert zone_state(cluster) == "up"
    totals = stored_zone_record(cluster).losses[-1].totals()
    assert totals["open"] == 0
    assert sum(totals.values()) == len(lost_tasks)
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster))) == 4 * len(cluster.workers)


def test_tasks_that_ended_between_two_leaders_are_not_counted_as_cancelled(cluster: Cluster) -> None:
    """Guards against counting them as cancelled because their job no longer exists."""
    cluster.submit("n0", cluster.job(1, crew="open", parts=4, yard="south", guess_s=900.0))
    cluster.submit("n0", cluster.job(2, crew="open", parts=2, yard="south", guess_s=900.0))
    run_for(cluster, 5.0)
    lost_tasks = running_in_zone(cluster)
    assert len(lost_tasks) == 6
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    leader = cluster.require_leader()
    scheduler = cluster.nodes[leader].scheduler
    earlier_record = cluster.store.rows[zone_record.key("south")]
    reconnect_zones(cluster)
    run_for(cluster, 24.0)  # all tasks run again; the two of the second job end, and so does the job
    for task_id in running_in_zone(cluster):
        if task_id.startswith("req-000002"):
            cluster.finish(task_id)
    run_for(cluster, 4.0)
    assert cluster.query("n0", "req-000002") == "done"
    assert scheduler.leader
    cluster.store.rows[zone_record.key("south")] = earlier_record  # as if it were the last record written
    cluster.boot(leader)
    run_for(cluster, 8.0)
    totals = stored_zone_record(cluster).losses[-1].totals()
    assert totals["over"] == 2
    assert totals["cancelled"] == 0
    assert sum(totals.values()) == 6


def test_a_leader_in_the_lost_zone_is_replaced_and_the_next_one_records_the_loss(cluster: Cluster) -> None:
    fill_with_one_job(cluster)
    leader = cluster.require_leader()
    zone = cluster.nodes[leader].settings.zone
    cut_zone_off(cluster, zone)
    for name, node in cluster.nodes.items():
        if node.settings.zone == zone:
            cluster.store.unreachable_from.add(name)
            cluster.mesh_cuts.add(name)
            cluster.network_cuts |= {(worker, name) for worker in cluster.workers}
    run_for(cluster, 50.0)
    others = [name for name, node in cluster.nodes.items() if node.settings.zone != zone]
    for name in others:
        if cluster.nodes[name].scheduler.leader:
            monitor = cluster.nodes[name].scheduler.zone_monitor
            lost = zone_index(cluster.nodes[name].scheduler, zone)
            assert monitor.statuses[lost].state is not ZoneState.UP
            assert sum(monitor.losses[lost][0].to_stored().totals().values()) == 16
            break
    else:
        pytest.fail("no failover")
    cluster.store.unreachable_from.clear()
    cluster.mesh_cuts.clear()
    reconnect_zones(cluster)
    run_for(cluster, 90.0)
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster)))


@pytest.mark.parametrize("reconnects_during_outage", [True, False])
def test_a_zone_recovers_from_a_partition_that_ends_with_or_during_a_store_outage(
    cluster: Cluster, reconnects_during_outage: bool
) -> None:
    fill_with_one_job(cluster)
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    assert zone_state(cluster) == "lost"
    cluster.store.down = True
    run_for(cluster, 4.0)
    if reconnects_during_outage:
        reconnect_zones(cluster)
        run_for(cluster, 6.0)
    cluster.store.down = False
    reconnect_zones(cluster)
    run_for(cluster, 60.0)
    assert zone_state(cluster) == "up"
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster))) == 4 * len(cluster.workers)


def test_a_late_heartbeat_does_not_register_a_deleted_machine_again(cluster: Cluster) -> None:
    fill_with_one_job(cluster)
    deleted_worker = next(worker for worker in cluster.workers.values() if worker.zone == "south")
    late_heartbeat = deleted_worker.heartbeat()
    cut_zone_off(cluster)
    run_for(cluster, 40.0)
    assert deleted_worker.name in cluster.cloud.deleted
    known_machines = leader_of(cluster).scheduler.state.machines.keys()
    cluster.replay(late_heartbeat, cluster.require_leader())
    assert deleted_worker.name not in {
        leader_of(cluster).scheduler.state.machine_names[i] for i in known_machines
    }


def test_services_bound_to_the_zone_and_gangs_partly_inside_it_resume(cluster: Cluster) -> None:
    cluster.submit("n0", cluster.service(1, crew="open", parts=2, yard="south", loaners=True))
    cluster.submit("n0", cluster.job(2, crew="open", shape="gang", parts=6, guess_s=900.0))
    run_for(cluster, 8.0)
    placed = len(running_tasks(cluster))
    assert placed >= 2
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    assert [
        task_id
        for task_id in running_tasks(cluster)
        if task_id not in running_in_zone(cluster) and task_id.startswith("req-000001")
    ] == []
    reconnect_zones(cluster)
    run_for(cluster, 60.0)
    assert {task_id for task_id in running_tasks(cluster) if task_id.startswith("req-000001")} == {
        "req-000001/0",
        "req-000001/1",
    }
    assert set(running_in_zone(cluster)) >= {"req-000001/0", "req-000001/1"}


def test_jobs_return_in_the_configured_order_and_none_starves(cluster: Cluster) -> None:
    fill_with_one_job(cluster)
    cut_zone_off(cluster)
    run_for(cluster, 36.0)  # until its machines are deleted
    assert zone_state(cluster) in ("lost", "returning")
    for number, lane in ((2, "trickle"), (3, "sweep"), (4, "hot")):
        cluster.submit(
            "n0",
            cluster.job(
                number, lane=lane, crew="open", parts=4, guess_s=900.0, yard="south", bundle=f"img-{lane}"
            ),
        )
    reconnect_zones(cluster)
    cluster.cloud.capacity = 0
    for _ in range(2):  # capacity for two of the three jobs
        cluster.machine(zone="south")
    run_for(cluster, 16.0)
    assert {task_id[:10] for task_id in running_in_zone(cluster)} == {"req-000004", "req-000003"}, (
        "the class hot returns first, then sweep"
    )
    jobs = leader_of(cluster).scheduler.state.jobs
    hot, sweep = (
        [placement.attempt for placement in jobs[name].open.values()] for name in ("req-000004", "req-000003")
    )
    assert max(hot) < min(sweep)
    for task_id in running_in_zone(cluster):
        if task_id.startswith("req-000004"):
            cluster.finish(task_id)
    run_for(cluster, 20.0)
    assert {task_id[:10] for task_id in running_in_zone(cluster)} == {"req-000003", "req-000002"}, (
        "the last job does not starve"
    )


def test_a_job_preempts_no_work_before_it_in_the_return_order_while_the_zone_returns(
    cluster: Cluster,
) -> None:
    """Guards against urgent work of a class without rank that stopped returned work of the first class."""
    cluster.submit(
        "n0", cluster.job(1, crew="open", parts=16, rank="urgent", yard="north", guess_s=900.0, lane="sweep")
    )
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    assert zone_state(cluster) == "lost"
    reconnect_zones(cluster)
    cluster.submit("n0", cluster.job(2, crew="open", parts=16, yard="south", guess_s=900.0, lane="hot"))
    while len(running_in_zone(cluster)) < 16:
        run_for(cluster, 0.5)
    cluster.submit("n0", cluster.job(3, crew="open", parts=2, rank="urgent", guess_s=900.0, lane="trickle"))
    while zone_state(cluster) == "returning":
        jobs = leader_of(cluster).scheduler.state.jobs
        assert not any(placement.stopping for placement in jobs["req-000002"].open.values())
        assert len(jobs["req-000002"].open) == 16
        run_for(cluster, 0.5)
    run_for(cluster, 10.0)
    running = [task_id for task_id in running_in_zone(cluster) if task_id.startswith("req-000003")]
    assert len(running) == 2, "in a zone that is up, urgent work preempts"


def test_a_zone_whose_heartbeats_a_relay_passes_on_is_not_suspect(cluster: Cluster) -> None:
    """Guards against closing a zone between two publications of the relay that answers all its machines."""
    scheduler = leader_of(cluster).scheduler
    workers = [worker for worker in cluster.workers.values() if worker.zone == "south"]
    cut_zone_off(cluster)
    for _ in range(5):
        for worker in workers:
            scheduler.on_heartbeat(worker.heartbeat(), relay="n2")
        for _ in range(int(relay.MAX_PERIOD_S * 2)):
            run_for(cluster, 0.5)
            assert zone_state(cluster) == "up"
    run_for(cluster, cluster.lease_s)
    assert zone_state(cluster) == "suspect", "the relay passes nothing on any more"


def test_work_that_may_run_elsewhere_leaves_the_returning_zone_to_work_bound_to_it(cluster: Cluster) -> None:
    """Guards against a job bound to the zone that never ran, as work with room elsewhere had its capacity."""
    cut_zone_off(cluster)
    run_for(cluster, 22.0)
    assert zone_state(cluster) == "lost"
    reconnect_zones(cluster)
    while not leader_of(cluster).scheduler.state.verified_machines:
        run_for(cluster, 0.5)
    assert zone_state(cluster) == "returning"
    cluster.submit("n0", cluster.job(2, crew="open", parts=12, yard="south", guess_s=900.0, lane="trickle"))
    cluster.submit("n0", cluster.job(1, crew="open", parts=20, rank="urgent", guess_s=900.0, lane="trickle"))
    run_for(cluster, 8.0)
    in_zone = running_in_zone(cluster)
    assert sum(task_id.startswith("req-000002") for task_id in in_zone) == 12
    assert len(in_zone) == 16, "urgent work without room elsewhere gets the rest"


def test_the_log_says_since_when_a_silent_zone_cannot_be_judged_and_when_it_can_again(
    cluster: Cluster, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    cut_zone_off(cluster, "north")
    cut_zone_off(cluster, "south")
    run_for(cluster, 26.0)  # before the machines are deleted
    for worker in cluster.workers.values():  # to a relay, it would make the leader hand over
        worker.reports_to = cluster.require_leader()
    reconnect_zones(cluster)
    run_for(cluster, 10.0)
    lines = [record.getMessage() for record in caplog.records if "zone state" in record.getMessage()]
    unknown = [line for line in lines if line.startswith("zone state unknown: zone=south kept_state=up ")]
    assert len(unknown) == 1, "each reason is logged once"
    assert "machines=4 alive=0 unknown_for_s=12 reason=no other zone is reachable" in unknown[0]
    assert lines[-1].startswith("zone state known again: zone=")
