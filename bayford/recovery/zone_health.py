"""Whether a zone is up, as a state machine fed with what a leader sees of its machines.

A zone counts as lost only if most of its machines are silent together while others are heard: single machines
are nobody's zone, and a leader that hears nobody may be the one that is cut off. Who can't know stays with
the state that it has, and says why. Nothing here ends any work: that takes the evidence of the safety
argument (docs/architecture.md), whatever a zone is called.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, replace


class ZoneState(enum.StrEnum):
    """What a leader takes a zone for."""

    UP = "up"
    SUSPECT = "suspect"  # most machines fell silent together: nothing new goes there
    LOST = "lost"  # for longer than their leases: whatever ran there has ended, or runs unheard
    RETURNING = "returning"  # machines answer again: work comes back in the stated order

    @property
    def closed(self) -> bool:
        """Whether nothing is placed or launched there."""
        return self in (ZoneState.SUSPECT, ZoneState.LOST)


@dataclass(frozen=True, slots=True)
class ZoneFacts:
    """What is seen of one zone at a moment."""

    machines: int  # that have reported and have not been given back
    heard: int  # of these, lately, directly or through a relay
    answering: (
        int  # of those heard, the ones that have answered this leader itself since the zone's last state
    )


@dataclass(frozen=True, slots=True)
class LeadershipFacts:
    """What the leader knows of its own standing."""

    verified: bool  # to be the leader, by a view that is not old
    served: bool  # by the state service
    listening_s: float  # for how long it has taken reports without a break


@dataclass(frozen=True, slots=True)
class HealthTimes:
    """Times and shares that the transitions go by, from the deployment's and the operators' settings."""

    lease_s: float
    heartbeat_interval_s: float
    least_machines: int = 3  # of which a zone must have had so many
    silent_share: float = 0.75
    heard_share: float = 0.5
    settle_leases: float = 1.0
    flap_memory_s: float = 600.0

    @property
    def lost_after_s(self) -> float:
        """From suspicion on, until the leases of all that was heard before it have run out."""
        return self.lease_s + self.heartbeat_interval_s

    def settle_s(self, flaps: int) -> float:
        """How long a zone has to answer until it is up again: twice as long after each flap."""
        return float(self.settle_leases * self.lease_s * 2 ** min(flaps, 4))


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """A zone's state, since when, and how it came to it. Times are of the clock that `advance` is given."""

    state: ZoneState = ZoneState.UP
    since: float = 0.0
    suspected: float = 0.0  # when the present or last loss was first suspected
    lost: float = 0.0
    flaps: int = 0  # times that it fell silent again while it came back, or shortly after
    unknown: str = ""  # why nothing can be said now, empty if something can


def blindness(leader: LeadershipFacts, zones: Mapping[int, ZoneFacts], zone: int, times: HealthTimes) -> str:
    """Why this leader can't tell whether a zone is lost; empty if it can."""
    if not leader.verified:
        return "not sure to be the owner"
    if not leader.served:
        return "the state service does not answer"
    if leader.listening_s < times.lease_s:
        return "reports have been taken for less than a lease"
    others = [facts for index, facts in zones.items() if index != zone and facts.machines]
    if not others:
        return "no other zone has machines to compare with"
    if not any(facts.heard >= max(1.0, times.heard_share * facts.machines) for facts in others):
        return "no other zone is heard either: the fault may be here"
    return ""


def advance(status: ZoneStatus, facts: ZoneFacts, unknown: str, now: float, times: HealthTimes) -> ZoneStatus:
    """The status after a look at the zone."""
    status = replace(status, unknown=unknown)
    heard = facts.heard >= max(1.0, times.heard_share * facts.machines)
    if status.state is ZoneState.UP:
        silent = facts.machines - facts.heard
        enough = facts.machines >= times.least_machines
        if not unknown and enough and silent >= times.silent_share * facts.machines:
            recent = status.suspected > 0 and now - status.since < times.flap_memory_s
            return _enter(
                status, ZoneState.SUSPECT, now, suspected=now, flaps=status.flaps + 1 if recent else 0
            )
    elif status.state is ZoneState.SUSPECT:
        if heard:
            back = ZoneState.RETURNING if status.flaps else ZoneState.UP
            return _enter(status, back, now)
        if not unknown and now - status.suspected >= times.lost_after_s:
            return _enter(status, ZoneState.LOST, now, lost=now)
    elif status.state is ZoneState.LOST:
        # Where none of its machines is left, only new ones can show that it is back.
        watched = facts.machines > 0
        if (watched and heard and facts.answering) or (
            not watched and not unknown and now - status.since >= times.settle_s(status.flaps)
        ):
            return _enter(status, ZoneState.RETURNING, now)
    elif facts.machines >= times.least_machines and not facts.heard:
        if not unknown:
            return _enter(status, ZoneState.SUSPECT, now, suspected=now, flaps=status.flaps + 1)
    elif facts.answering and now - status.since >= times.settle_s(status.flaps):
        return _enter(status, ZoneState.UP, now)
    return status


def _enter(
    status: ZoneStatus,
    state: ZoneState,
    now: float,
    suspected: float | None = None,
    lost: float | None = None,
    flaps: int | None = None,
) -> ZoneStatus:
    return replace(
        status,
        state=state,
        since=now,
        suspected=status.suspected if suspected is None else suspected,
        lost=status.lost if lost is None else lost,
        flaps=status.flaps if flaps is None else flaps,
    )
