"""State machine for the health of a zone, driven by the heartbeats that its machines send to the leader.

A zone counts as lost only if most of its machines fall silent together while other zones are reachable: a few
silent machines do not mean a lost zone, and a leader that can reach no zone may itself be cut off. A leader
that cannot judge a zone keeps its state and reports the reason. No transition ends any work. In every state
of a zone, ending work requires the evidence described in the safety argument (docs/safety-argument.md).

Pure functions. The caller passes all times, which must be of the same clock.
"""

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from bayford.clock import NEVER

MAX_SETTLE_DOUBLINGS = 4


class ZoneState(enum.StrEnum):
    """The state of a zone. The values are stored."""

    UP = "up"
    SUSPECT = "suspect"  # most machines fell silent together; no new work is placed there
    # Silent for longer than the machines' leases: tasks there have ended, or run without contact to the
    # leader.
    LOST = "lost"
    RETURNING = "returning"  # machines answer again; work returns in the order set by `return_order`

    @property
    def is_closed(self) -> bool:
        """Whether no tasks are placed and no machines launched in the zone."""
        return self in (ZoneState.SUSPECT, ZoneState.LOST)


@dataclass(frozen=True, slots=True)
class ZoneFacts:
    """Counts of the machines of one zone at one time."""

    # That have sent heartbeats, have open placements or are listed as running, and are not deleted.
    machines: int
    alive: int  # of `machines`: those with a recent heartbeat to this leader, sent directly or by a relay
    answering: int  # of `alive`: those that answered this leader directly since the last transition


@dataclass(frozen=True, slots=True)
class LeadershipFacts:
    """The leader's own state, on which its ability to judge zones depends."""

    verified: bool  # it has read its leadership record recently enough to be sure of its leadership
    store_reachable: bool  # the state service answers this controller
    listening_s: float  # time for which it has received heartbeats without interruption, in this term


@dataclass(frozen=True, slots=True)
class HealthTimes:
    """Durations and thresholds of the transitions, from the settings of the deployment and the operators."""

    lease_s: float
    heartbeat_interval_s: float
    min_machines: int = 3  # a zone with fewer machines never becomes suspect
    silent_share: float = 0.75  # share of silent machines at which a zone becomes suspect
    alive_share: float = 0.5  # share of alive machines at which a zone counts as reachable
    settle_leases: float = 1.0  # leases for which a returning zone must answer before it is up
    flap_memory_s: float = 600.0  # becoming suspect within this time after a return is a flap

    @property
    def lost_after_s(self) -> float:
        """Seconds from suspicion until all leases based on heartbeats received before it have expired."""
        return self.lease_s + self.heartbeat_interval_s

    def settle_s(self, flaps: int) -> float:
        """Returns the seconds for which a returning zone must answer before it is up.

        The time doubles with each flap, up to `MAX_SETTLE_DOUBLINGS` times.
        """
        return float(self.settle_leases * self.lease_s * 2 ** min(flaps, MAX_SETTLE_DOUBLINGS))

    def is_silent(self, facts: ZoneFacts) -> bool:
        """Returns whether so many machines are silent that the zone may be lost."""
        silent_machines = facts.machines - facts.alive
        return facts.machines >= self.min_machines and silent_machines >= self.silent_share * facts.machines

    def is_reachable(self, facts: ZoneFacts) -> bool:
        """Returns whether enough machines of a zone are alive for it to count as reachable."""
        return facts.alive >= max(1.0, self.alive_share * facts.machines)


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """A zone's state and its recent history. Times are of the clock that is passed to `advance`."""

    state: ZoneState = ZoneState.UP
    since: float = 0.0  # time of the last transition
    suspected: float = NEVER  # when the zone last became suspect
    lost: float = NEVER  # when the zone was last lost
    flaps: int = 0  # times that it fell silent again while returning or shortly afterwards
    unknown_reason: str = ""  # why the zone cannot be judged now; empty if it can
    unknown_since: float = NEVER  # when the zone could last be judged
    # While returning: since when machines of it have answered this leader without a break, None if none does.
    # It is not stored: a new leader has verified no machine, so that work has yet to return in order.
    answering_since: float | None = None


def find_unknown_reason(
    leader: LeadershipFacts, zones: Mapping[int, ZoneFacts], zone: int, times: HealthTimes
) -> str:
    """Returns why this leader cannot judge whether a zone is lost; empty if it can.

    `zones`: the machine counts of all zones, by zone index.
    """
    if not leader.verified:
        return "leadership not verified"
    if not leader.store_reachable:
        return "the state service does not answer"
    if leader.listening_s < times.lease_s:
        return "heartbeats have been received for less than a lease"
    others = [facts for index, facts in zones.items() if index != zone and facts.machines]
    if not others:
        return "no other zone has machines to compare with"
    if not any(times.is_reachable(facts) for facts in others):
        return "no other zone is reachable either: the fault may be on this controller's side"
    return ""


def advance(
    status: ZoneStatus, facts: ZoneFacts, unknown_reason: str, now: float, times: HealthTimes
) -> ZoneStatus:
    """Returns the zone's next status, given its machine counts at `now`."""
    unknown_since = status.unknown_since if status.unknown_reason else now
    status = replace(status, unknown_reason=unknown_reason, unknown_since=unknown_since)
    return _TRANSITIONS[status.state](status, facts, now, times)


def _advance_from_up(status: ZoneStatus, facts: ZoneFacts, now: float, times: HealthTimes) -> ZoneStatus:
    if status.unknown_reason or not times.is_silent(facts):
        return status
    has_flapped = status.suspected > NEVER and now - status.since < times.flap_memory_s
    return replace(
        status,
        state=ZoneState.SUSPECT,
        since=now,
        suspected=now,
        flaps=status.flaps + 1 if has_flapped else 0,
    )


def _advance_from_suspect(status: ZoneStatus, facts: ZoneFacts, now: float, times: HealthTimes) -> ZoneStatus:
    if times.is_reachable(facts):
        return _return(status, facts, now) if status.flaps else replace(status, state=ZoneState.UP, since=now)
    if not status.unknown_reason and now - status.suspected >= times.lost_after_s:
        return replace(status, state=ZoneState.LOST, since=now, lost=now)
    return status


def _advance_from_lost(status: ZoneStatus, facts: ZoneFacts, now: float, times: HealthTimes) -> ZoneStatus:
    if facts.machines:
        is_returning = times.is_reachable(facts) and facts.answering > 0
    else:
        # No machine is left whose heartbeats could show that the zone is reachable again. After the settle
        # time the zone becomes returning, so that newly launched machines can show it.
        has_settled = now - status.since >= times.settle_s(status.flaps)
        is_returning = not status.unknown_reason and has_settled
    return _return(status, facts, now) if is_returning else status


def _return(status: ZoneStatus, facts: ZoneFacts, now: float) -> ZoneStatus:
    """Returns the status of a zone that begins to return."""
    answering_since = now if facts.answering else None
    return replace(status, state=ZoneState.RETURNING, since=now, answering_since=answering_since)


def _advance_from_returning(
    status: ZoneStatus, facts: ZoneFacts, now: float, times: HealthTimes
) -> ZoneStatus:
    if not facts.answering:
        status = replace(status, answering_since=None)
    if facts.machines >= times.min_machines and not facts.alive:
        if status.unknown_reason:
            return status
        return replace(status, state=ZoneState.SUSPECT, since=now, suspected=now, flaps=status.flaps + 1)
    if not facts.answering:
        return status
    if status.answering_since is None:
        return replace(status, answering_since=now)
    if now - status.answering_since >= times.settle_s(status.flaps):
        return replace(status, state=ZoneState.UP, since=now)
    return status


_Transition = Callable[[ZoneStatus, ZoneFacts, float, HealthTimes], ZoneStatus]
_TRANSITIONS: Mapping[ZoneState, _Transition] = {
    ZoneState.UP: _advance_from_up,
    ZoneState.SUSPECT: _advance_from_suspect,
    ZoneState.LOST: _advance_from_lost,
    ZoneState.RETURNING: _advance_from_returning,
}
