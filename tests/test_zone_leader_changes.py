"""The loss and the return of a zone while the leader changes, by a failover or by a transfer."""

from collections.abc import Callable

import pytest
from cluster_helpers import leader_of
from fakes.cluster import Cluster
from fakes.scenarios import run_for, running_tasks
from zone_helpers import (
    cut_zone_off,
    fill_with_one_job,
    reconnect_zones,
    recovery_cluster,
    stored_zone_record,
    zone_state,
)

from bayford.recovery import zone_record
from bayford.storage.key_value_store import Put

LOST_AFTER_S = 14.0  # a lease and a heartbeat interval of the simulated settings
LEASE_S = 12.0
SILENT_AFTER_S = 5.0  # 2.5 heartbeat intervals

LeaderChange = Callable[[Cluster], None]


def fail_over(cluster: Cluster) -> None:
    """End the leader, wait for another one and restart the first."""
    ended = cluster.require_leader()
    del cluster.nodes[ended]
    while cluster.leader() is None:
        run_for(cluster, 0.5)
    cluster.boot(ended)


def transfer(cluster: Cluster) -> None:
    """Let the leader write a leadership record that names another controller."""
    old_leader = cluster.require_leader()
    successor = next(name for name in cluster.nodes if name != old_leader)
    assert cluster.nodes[old_leader].membership.acquire_leadership(successor)
    run_for(cluster, 0.5)
    assert cluster.require_leader() == successor


change_leader = pytest.mark.parametrize("change", [fail_over, transfer])


def run_until_state(cluster: Cluster, state: str, timeout_s: float = 120.0) -> None:
    """Advance the cluster until the leader has the zone in this state."""
    deadline = cluster.clock.now + timeout_s
    while zone_state(cluster) != state:
        run_for(cluster, 0.5)
        assert cluster.clock.now < deadline, f"the zone is {zone_state(cluster)}, not {state}"


def run_north_only(cluster: Cluster) -> None:
    cluster.submit("n0", cluster.job(1, crew="open", parts=4, yard="north", guess_s=900.0))
    run_for(cluster, 5.0)


def run_nothing(cluster: Cluster) -> None:
    pass


@change_leader
@pytest.mark.parametrize("fill", [fill_with_one_job, run_north_only, run_nothing])
@pytest.mark.parametrize("after_s", [0.5, 3.0])
def test_a_leader_that_never_heard_from_a_zone_without_tasks_records_its_loss(
    change: LeaderChange, fill: Callable[[Cluster], object], after_s: float
) -> None:
    """Guards against a loss that no leader recorded, since the new one knew no machine of the zone."""
    cluster = recovery_cluster()
    fill(cluster)
    cut_zone_off(cluster)
    run_for(cluster, after_s)
    assert zone_state(cluster) == "up", "the zone falls silent before the first leader can notice"
    change(cluster)
    run_until_state(cluster, "lost", timeout_s=LEASE_S + SILENT_AFTER_S + LOST_AFTER_S + 1.0)
    run_for(cluster, 2.0)
    assert stored_zone_record(cluster).state == "lost"
    assert len(stored_zone_record(cluster).losses) == 1
    assert leader_of(cluster).scheduler.state.closed_zones


@change_leader
@pytest.mark.parametrize("fill", [fill_with_one_job, run_nothing])
def test_a_new_leader_does_not_take_a_suspect_zone_for_up_before_it_hears_from_it(
    change: LeaderChange, fill: Callable[[Cluster], object]
) -> None:
    """Guards against a suspicion that began anew, as machines restored from the records counted as alive."""
    cluster = recovery_cluster()
    fill(cluster)
    cut_zone_off(cluster)
    run_until_state(cluster, "suspect")
    run_for(cluster, 2.0)
    change(cluster)
    while zone_state(cluster) != "lost":
        assert zone_state(cluster) == "suspect"
        assert leader_of(cluster).scheduler.state.closed_zones
        run_for(cluster, 0.5)


@change_leader
def test_a_new_leader_does_not_suspect_a_zone_whose_workers_find_it_late(change: LeaderChange) -> None:
    """Guards against a leader that counted the time before its term, in which it received no heartbeats."""
    cluster = recovery_cluster()
    cut_zone_off(cluster)
    change(cluster)
    for _ in range(int((LEASE_S - 1.0) * 2)):
        assert zone_state(cluster) == "up"
        run_for(cluster, 0.5)
    reconnect_zones(cluster)
    run_for(cluster, 20.0)
    assert zone_state(cluster) == "up"
    assert zone_record.key("south") not in cluster.store.rows, "the state has never changed"


@change_leader
@pytest.mark.parametrize("has_old_loss", [False, True])
def test_a_loss_under_a_new_leader_counts_from_the_recorded_suspicion(
    change: LeaderChange, has_old_loss: bool
) -> None:
    """Guards against a zone that was lost at once, with the suspicion of an earlier loss or none at all."""
    cluster = recovery_cluster()
    if has_old_loss:
        cut_zone_off(cluster)
        run_until_state(cluster, "lost")
        reconnect_zones(cluster)
        run_until_state(cluster, "up")
    cut_zone_off(cluster)
    run_until_state(cluster, "suspect")
    suspected = cluster.clock.wall()
    change(cluster)
    run_until_state(cluster, "lost")
    assert cluster.clock.wall() - suspected >= LOST_AFTER_S
    run_for(cluster, 2.0)
    loss = stored_zone_record(cluster).losses[-1]
    assert loss.suspected == pytest.approx(suspected, abs=1.0)
    assert loss.lost - loss.suspected >= LOST_AFTER_S


def submit_jobs_bound_to_the_zone(cluster: Cluster) -> None:
    """Submit a job of each class, in the reverse of the order in which they are to return."""
    for number, lane in ((2, "trickle"), (3, "sweep"), (4, "hot")):
        cluster.submit(
            "n0",
            cluster.job(
                number, lane=lane, crew="open", parts=4, guess_s=900.0, yard="south", bundle=f"img-{lane}"
            ),
        )


def attempts_in_return_order(cluster: Cluster) -> list[int]:
    """The attempt numbers of the jobs bound to the zone, those of `return_order` first."""
    jobs = leader_of(cluster).scheduler.state.jobs
    return [
        attempt
        for name in ("req-000004", "req-000003", "req-000002")
        for attempt in sorted(placement.attempt for placement in jobs[name].open.values())
    ]


@change_leader
@pytest.mark.parametrize("after_s", [0.5, 4.0, 8.0, 11.5])
@pytest.mark.parametrize("changes", [1, 2])
def test_work_returns_in_order_although_the_leader_changes_while_the_zone_returns(
    change: LeaderChange, after_s: float, changes: int
) -> None:
    """Guards against a zone that was up, and its order gone, before the new leader had verified a machine."""
    cluster = recovery_cluster()
    cut_zone_off(cluster)
    run_until_state(cluster, "lost")
    reconnect_zones(cluster)
    run_until_state(cluster, "returning")
    run_for(cluster, after_s)
    for _ in range(changes):
        change(cluster)
    submit_jobs_bound_to_the_zone(cluster)
    while not leader_of(cluster).scheduler.state.verified_machines:
        assert zone_state(cluster) == "returning"
        run_for(cluster, 0.5)
    run_for(cluster, 6.0)
    attempts = attempts_in_return_order(cluster)
    assert len(attempts) == 12
    assert attempts == sorted(attempts)
    run_until_state(cluster, "up")
    run_for(cluster, 2.0)
    assert stored_zone_record(cluster).losses[-1].returned > 0


@change_leader
def test_a_zone_settles_from_its_first_answer_and_not_from_its_launches(change: LeaderChange) -> None:
    """Guards against a zone that was up as soon as one machine of it answered, if that took a while."""
    cluster = recovery_cluster()
    cut_zone_off(cluster)
    run_until_state(cluster, "lost")
    while any(worker.zone == "south" for worker in cluster.workers.values()):
        run_for(cluster, 0.5)
    run_until_state(cluster, "returning")
    change(cluster)
    run_for(cluster, 3 * LEASE_S)
    reconnect_zones(cluster)
    cluster.machine(zone="south")
    answering_from = cluster.clock.now
    run_until_state(cluster, "up")
    assert cluster.clock.now - answering_from >= LEASE_S


@change_leader
def test_a_zone_that_falls_silent_again_under_a_new_leader_settles_anew(change: LeaderChange) -> None:
    """Guards against a zone that was up with the first heartbeat after a cut that counted as no flap."""
    cluster = recovery_cluster()
    cut_zone_off(cluster)
    run_until_state(cluster, "lost")
    change(cluster)
    reconnect_zones(cluster)
    run_until_state(cluster, "returning")
    run_for(cluster, 1.0)
    cut_zone_off(cluster)
    run_for(cluster, SILENT_AFTER_S + 1.0)
    assert zone_state(cluster) == "returning", "the leader has listened for less than a lease"
    reconnect_zones(cluster)
    submit_jobs_bound_to_the_zone(cluster)
    run_for(cluster, LEASE_S - 2.0)
    assert zone_state(cluster) == "returning"
    attempts = attempts_in_return_order(cluster)
    assert len(attempts) == 12
    assert attempts == sorted(attempts)


@change_leader
@pytest.mark.parametrize("is_recorded_by_older_release", [False, True])
def test_a_task_that_runs_again_in_its_zone_is_no_task_that_finished_there(
    change: LeaderChange, is_recorded_by_older_release: bool
) -> None:
    """Guards against an outcome that was lost with a leader that ended within 2 s after the placement."""
    cluster = recovery_cluster()
    cluster.submit("n0", cluster.job(1, crew="open", parts=8, yard="south", guess_s=900.0))
    run_for(cluster, 5.0)
    cut_zone_off(cluster)
    run_until_state(cluster, "lost")
    run_for(cluster, 1.0)
    recorded = stored_zone_record(cluster)
    if is_recorded_by_older_release:
        recorded.losses[-1].next_attempt = 0
    reconnect_zones(cluster)
    while len(leader_of(cluster).scheduler.state.jobs["req-000001"].open) < 8 or not any(
        placement.attempt > 8
        for placement in leader_of(cluster).scheduler.state.jobs["req-000001"].open.values()
    ):
        run_for(cluster, 0.5)
    # The record as it was before the tasks were placed again.
    key = zone_record.key("south")
    cluster.store._change([Put(key, zone_record.encode(recorded, 8192))])
    change(cluster)
    run_for(cluster, 8.0)
    outcome = "open" if is_recorded_by_older_release else "again"
    assert stored_zone_record(cluster).losses[-1].totals()[outcome] == 8
    for task in range(8):
        cluster.finish(f"req-000001/{task}")
    run_for(cluster, 8.0)
    assert stored_zone_record(cluster).losses[-1].totals()["open"] == 0


def test_releases_pass_over_the_fields_of_a_loss_that_they_do_not_know() -> None:
    loss = {"suspected": 1.0, "next": 7, "of_a_later_release": [1]}
    record = zone_record.decode({"zone": "south", "state": "up", "since": 1.0, "losses": [loss]})
    assert record.losses[0].next_attempt == 7
    assert zone_record.encode(record, 8192)["losses"] == [{"suspected": 1.0, "next": 7}]


@change_leader
def test_flaps_and_losses_pass_through_a_leader_change_at_each_step(change: LeaderChange) -> None:
    """Guards against a flap, a loss or a longer settle time that is lost with a leader."""
    cluster = recovery_cluster()
    fill_with_one_job(cluster)
    cut_zone_off(cluster)
    for state in ("suspect", "lost"):
        run_until_state(cluster, state)
        run_for(cluster, 1.0)  # until the record is written
        change(cluster)
    reconnect_zones(cluster)
    run_until_state(cluster, "returning")
    run_for(cluster, 1.0)
    change(cluster)
    run_until_state(cluster, "up")
    run_for(cluster, 1.0)
    change(cluster)
    run_for(cluster, LEASE_S + 1.0)
    cut_zone_off(cluster)  # within `recovery_flap_memory_s` of the return
    run_until_state(cluster, "suspect")
    run_for(cluster, 1.0)
    change(cluster)
    reconnect_zones(cluster)
    run_until_state(cluster, "returning")
    returned_at = cluster.clock.now
    assert stored_zone_record(cluster).flaps == 1
    run_until_state(cluster, "up")
    assert cluster.clock.now - returned_at >= 2 * LEASE_S
    run_for(cluster, 4.0)
    losses = stored_zone_record(cluster).losses
    assert len(losses) == 1
    assert losses[0].totals()["open"] == 0
    assert len(running_tasks(cluster)) == len(set(running_tasks(cluster))) == 32
