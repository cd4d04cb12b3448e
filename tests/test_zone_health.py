"""Unit tests of the state machine of a zone's health: up, suspect, lost, returning."""

import pytest

from bayford.recovery.zone_health import (
    HealthTimes,
    LeadershipFacts,
    ZoneFacts,
    ZoneState,
    ZoneStatus,
    advance,
    find_unknown_reason,
)

TIMES = HealthTimes(lease_s=12.0, heartbeat_interval_s=2.0)
VERIFIED_LEADER = LeadershipFacts(True, True, 100.0)
ALL_HEARD, NONE_HEARD = ZoneFacts(8, 8, 8), ZoneFacts(8, 0, 0)
NORTH, SOUTH, WEST = 0, 1, 2


def statuses_over_time(
    observations: list[tuple[float, ZoneFacts]],
    leader: LeadershipFacts = VERIFIED_LEADER,
    others: ZoneFacts = ALL_HEARD,
) -> list[ZoneStatus]:
    """Returns the status of the zone SOUTH after each observation of it."""
    status = ZoneStatus()
    statuses = []
    for now, facts in observations:
        unknown = find_unknown_reason(leader, {NORTH: others, SOUTH: facts}, SOUTH, TIMES)
        status = advance(status, facts, unknown, now, TIMES)
        statuses.append(status)
    return statuses


def test_a_zone_is_lost_after_its_leases_expire_and_up_after_it_has_settled() -> None:
    observations = [
        (0.0, ALL_HEARD),
        (10.0, NONE_HEARD),
        (23.0, NONE_HEARD),
        (24.0, NONE_HEARD),
        (60.0, ALL_HEARD),
        (71.0, ALL_HEARD),
        (72.0, ALL_HEARD),
    ]
    assert [status.state.value for status in statuses_over_time(observations)] == [
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
        (LeadershipFacts(False, True, 100.0), ALL_HEARD),  # not a verified leader
        (LeadershipFacts(True, False, 100.0), ALL_HEARD),  # the state service does not answer
        # has received heartbeats for less than a lease since its start or a pause
        (LeadershipFacts(True, True, 3.0), ALL_HEARD),
        (VERIFIED_LEADER, NONE_HEARD),  # no heartbeats from any zone: the leader may be cut off
        (VERIFIED_LEADER, ZoneFacts(0, 0, 0)),  # no other zone has machines, as at a site of one zone
    ],
)
def test_a_leader_that_cannot_judge_a_zone_does_not_declare_it_lost(
    leader: LeadershipFacts, others: ZoneFacts
) -> None:
    assert {
        status.state
        for status in statuses_over_time([(t, NONE_HEARD) for t in (0.0, 10.0, 30.0, 300.0)], leader, others)
    } == {ZoneState.UP}


@pytest.mark.parametrize("facts", [ZoneFacts(8, 3, 3), ZoneFacts(2, 0, 0)])
def test_a_zone_with_few_unresponsive_machines_is_not_declared_lost(facts: ZoneFacts) -> None:
    assert {status.state for status in statuses_over_time([(t, facts) for t in (0.0, 30.0, 300.0)])} == {
        ZoneState.UP
    }


def test_each_flap_of_a_zone_lengthens_the_time_until_it_is_up() -> None:
    observations = [
        (0.0, ALL_HEARD),
        (5.0, NONE_HEARD),
        (10.0, ALL_HEARD),
        (20.0, NONE_HEARD),
        (25.0, ALL_HEARD),
        (40.0, ALL_HEARD),
        (49.0, ALL_HEARD),
    ]
    states = [(status.state.value, status.flaps) for status in statuses_over_time(observations)]
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


def test_several_zones_may_be_lost_but_not_all() -> None:
    zones = {NORTH: ALL_HEARD, SOUTH: NONE_HEARD, WEST: ALL_HEARD}
    assert find_unknown_reason(VERIFIED_LEADER, zones, SOUTH, TIMES) == ""
    zones[WEST] = NONE_HEARD
    assert (
        find_unknown_reason(VERIFIED_LEADER, zones, WEST, TIMES)
        == find_unknown_reason(VERIFIED_LEADER, zones, SOUTH, TIMES)
        == ""
    )
    zones[NORTH] = NONE_HEARD
    assert "the fault may be on this controller's side" in find_unknown_reason(
        VERIFIED_LEADER, zones, WEST, TIMES
    )


def test_a_lost_zone_without_machines_is_retried_after_a_lease() -> None:
    status = ZoneStatus(ZoneState.LOST, since=0.0, suspected=-14.0, lost=0.0)
    no_machines = ZoneFacts(0, 0, 0)
    assert advance(status, no_machines, "", 11.0, TIMES).state is ZoneState.LOST
    assert advance(status, no_machines, "", 12.0, TIMES).state is ZoneState.RETURNING


def test_a_flap_counts_also_if_the_suspicion_was_before_the_clock_of_this_machine_began() -> None:
    """Guards against a flap that was not counted by a leader whose machine had started minutes ago."""
    status = ZoneStatus(ZoneState.UP, since=-30.0, suspected=-60.0)
    suspect = advance(status, NONE_HEARD, "", 10.0, TIMES)
    assert (suspect.state, suspect.flaps) == (ZoneState.SUSPECT, 1)
    never_suspected = advance(ZoneStatus(since=0.0), NONE_HEARD, "", 10.0, TIMES)
    assert (never_suspected.state, never_suspected.flaps) == (ZoneState.SUSPECT, 0)
