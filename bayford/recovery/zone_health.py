"""Whether a zone is up, as a state machine fed with what a leader sees of its machines.

A zone counts as lost only if most of its machines fall silent together while other zones are heard: a few
silent machines are no lost zone, and a leader that hears no zone may be the one that is cut off. A leader
that can't tell keeps the zone's state and says why. No transition ends any work: that takes the evidence of
the safety argument (docs/safety-argument.md), whatever state a zone is in.

Pure functions: times are passed in, on any one clock.
"""

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

MAX_SETTLE_DOUBLINGS = 4


class ZoneState(enum.StrEnum):
    """The state of a zone, by the name under which it is stored."""

    UP = "up"
    SUSPECT = "suspect"  # most machines fell silent together: no new work goes there
    LOST = "lost"  # silent for longer than their leases: whatever ran there has ended, or runs unheard
    RETURNING = "returning"  # machines answer again: work comes back in the order that the settings state

    @property
    def closed(self) -> bool:
        """Whether nothing is placed or launched there."""
        return self in (ZoneState.SUSPECT, ZoneState.LOST)


@dataclass(frozen=True, slots=True)
class ZoneFacts:
    """What is seen of one zone at a moment, as counts of its machines."""

    machines: int  # that have sent heartbeats and have not been given back
    alive: int  # of these, with a recent heartbeat, to the leader or through a relay
    answering: int  # of those alive, that have answered this leader itself since the zone's last transition


@dataclass(frozen=True, slots=True)
class LeadershipFacts:
    """What the leader knows of its own standing."""

    verified: bool  # it has read its leadership record recently enough
    served: bool  # the state service answers it
    listening_s: float  # for how long it has received heartbeats without a break


@dataclass(frozen=True, slots=True)
class HealthTimes:
    """Times and shares of the transitions, from the deployment's and the operators' settings."""

    lease_s: float
    heartbeat_interval_s: float
    min_machines: int = 3  # a zone with fewer is never suspected
    silent_share: float = 0.75  # of its machines, silent together, that make a zone suspect
    alive_share: float = 0.5  # of its machines that make a zone count as heard
    settle_leases: float = 1.0  # for so many leases a zone has to answer until it is up again
    flap_memory_s: float = 600.0  # a loss so soon after the return from another is a flap

    @property
    def lost_after_s(self) -> float:
        """From suspicion on, until the leases of all machines heard before it have expired."""
        return self.lease_s + self.heartbeat_interval_s

    def settle_s(self, flaps: int) -> float:
        """How long a zone has to answer until it is up again: twice as long after each flap, to a bound."""
        return float(self.settle_leases * self.lease_s * 2 ** min(flaps, MAX_SETTLE_DOUBLINGS))

    def is_heard(self, facts: ZoneFacts) -> bool:
        """Whether enough machines of a zone are alive for it to be reachable."""
        return facts.alive >= max(1.0, self.alive_share * facts.machines)


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """A zone's state, since when, and how it came to it. Times are of the clock that `advance` is given."""

    state: ZoneState = ZoneState.UP
    since: float = 0.0
    suspected: float = 0.0  # when the present or last loss was first suspected
    lost: float = 0.0
    flaps: int = 0  # times that it fell silent again while it came back, or shortly after
    unknown_reason: str = ""  # why the zone can't be judged now, empty if it can


def find_unknown_reason(
    leader: LeadershipFacts, zones: Mapping[int, ZoneFacts], zone: int, times: HealthTimes
) -> str:
    """Why this leader can't judge whether a zone is lost; empty if it can. `zones`: all of them, by index."""
    if not leader.verified:
        return "leadership not verified"
    if not leader.served:
        return "the state service does not answer"
    if leader.listening_s < times.lease_s:
        return "heartbeats have been received for less than a lease"
    others = [facts for index, facts in zones.items() if index != zone and facts.machines]
    if not others:
        return "no other zone has machines to compare with"
    if not any(times.is_heard(facts) for facts in others):
        return "no other zone is heard either: the fault may be here"
    return ""


def advance(
    status: ZoneStatus, facts: ZoneFacts, unknown_reason: str, now: float, times: HealthTimes
) -> ZoneStatus:
    """The status that follows from what is seen of the zone at `now`."""
    return _TRANSITIONS[status.state](replace(status, unknown_reason=unknown_reason), facts, now, times)


def _from_up(status: ZoneStatus, facts: ZoneFacts, now: float, times: HealthTimes) -> ZoneStatus:
    silent = facts.machines - facts.alive
    enough = facts.machines >= times.min_machines
    if status.unknown_reason or not enough or silent < times.silent_share * facts.machines:
        return status
    flapped = status.suspected > 0 and now - status.since < times.flap_memory_s
    return replace(
        status,
        state=ZoneState.SUSPECT,
        since=now,
        suspected=now,
        flaps=status.flaps + 1 if flapped else 0,
    )


def _from_suspect(status: ZoneStatus, facts: ZoneFacts, now: float, times: HealthTimes) -> ZoneStatus:
    if times.is_heard(facts):
        return replace(status, state=ZoneState.RETURNING if status.flaps else ZoneState.UP, since=now)
    if not status.unknown_reason and now - status.suspected >= times.lost_after_s:
        return replace(status, state=ZoneState.LOST, since=now, lost=now)
    return status


def _from_lost(status: ZoneStatus, facts: ZoneFacts, now: float, times: HealthTimes) -> ZoneStatus:
    if facts.machines:
        returning = times.is_heard(facts) and facts.answering > 0
    else:
        # No machine is left there whose heartbeats could show that the zone is back: new ones have to.
        settled = now - status.since >= times.settle_s(status.flaps)
        returning = not status.unknown_reason and settled
    return replace(status, state=ZoneState.RETURNING, since=now) if returning else status


def _from_returning(status: ZoneStatus, facts: ZoneFacts, now: float, times: HealthTimes) -> ZoneStatus:
    if facts.machines >= times.min_machines and not facts.alive:
        if status.unknown_reason:
            return status
        return replace(status, state=ZoneState.SUSPECT, since=now, suspected=now, flaps=status.flaps + 1)
    if facts.answering and now - status.since >= times.settle_s(status.flaps):
        return replace(status, state=ZoneState.UP, since=now)
    return status


_Transition = Callable[[ZoneStatus, ZoneFacts, float, HealthTimes], ZoneStatus]
_TRANSITIONS: Mapping[ZoneState, _Transition] = {
    ZoneState.UP: _from_up,
    ZoneState.SUSPECT: _from_suspect,
    ZoneState.LOST: _from_lost,
    ZoneState.RETURNING: _from_returning,
}
