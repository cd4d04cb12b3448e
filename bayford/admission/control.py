"""Computes admission levels from the load: when refusing jobs begins and ends, and the width of each window.

Reads no clock and does no I/O: the caller passes in the times and the hash key of a new level.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from bayford.admission.allotment import Allotment, Floors
from bayford.admission.level import Flow, Level, Window, window_width

MIN_CORRECTION, MAX_CORRECTION = 0.05, 4.0  # bounds of the factor on all window widths
MIN_CORRECTION_STEP, MAX_CORRECTION_STEP = 0.8, 1.25  # bounds of its factor between two levels
ACCEPT_RPS_MARGIN = 1.5  # `accept_rps` over capacity: it only bounds bursts, the windows enforce the capacity
FULLY_ADMITTED_SHARE = 0.999  # a flow that gets at least this share of its demand needs no window
SUBMISSIONS, BACKLOG = "submissions", "backlog"  # stored values of `Level.reason`


@dataclass(frozen=True, slots=True)
class AdmissionTimes:
    """Settings of the admission control."""

    interval_s: float  # between two levels
    window_s: float  # period over which rates are measured
    turn_s: float  # time in which a window advances by its own width
    enter: float  # refusing begins when the demand exceeds `sustainable_rps` times this ratio
    leave: float  # refusing ends below this ratio of `sustainable_rps` and of `backlog_s`, both at once
    clear_s: float  # refusing ends after the load has been below these limits for this time
    backlog_s: float  # refusing begins when the waiting work would take the whole fleet longer than this
    floors: Floors


@dataclass(frozen=True, slots=True)
class Load:
    """The load as measured by the leader at one moment; all rates are in jobs per second."""

    demand: Mapping[Flow, float]  # rate of new jobs
    accepted: Mapping[Flow, float]  # rate of accepted jobs
    capacity: float  # acceptances that the task log allows at present
    sustainable_rps: float  # acceptances that can be sustained; a higher rate is overload
    guarantees: Mapping[str, float]  # acceptances guaranteed to each team
    over_guarantee: frozenset[str] = frozenset()  # teams whose open jobs exceed their guaranteed CPUs
    # By priority, the seconds that the whole fleet needs for the work of this and all higher priorities;
    # empty while the fleet can still grow.
    backlog_s: Mapping[int, float] = field(default_factory=dict)

    def exempt_teams(self) -> list[str]:
        """Returns the teams within their guarantee, whose jobs are never refused. Recomputed at each call."""
        demand_by_team: dict[str, float] = {}
        for flow, rate in self.demand.items():
            demand_by_team[flow.team] = demand_by_team.get(flow.team, 0.0) + rate
        return [
            team
            for team, rate in demand_by_team.items()
            if team not in self.over_guarantee and rate <= self.guarantees.get(team, 0.0)
        ]


class LevelControl:
    """Computes the admission levels of one leader's term. Not thread-safe: the caller must lock."""

    def __init__(self, times: AdmissionTimes) -> None:
        self._times = times
        self.begin_term(0.0)

    def begin_term(self, now: float) -> None:
        """Reset all state for a new term, in which nothing has been measured yet."""
        self._term_began_at = now
        self._published_at = now - self._times.interval_s
        self._is_published = True
        self._below_limits_since: float | None = None
        self._correction = 1.0
        self._allotted_rates: dict[Flow, float] = {}

    def mark_not_published(self) -> None:
        """Record that the write of the last level failed or has an unknown outcome.

        The next level is then due at once.
        """
        self._is_published = False

    def is_due(self, now: float) -> bool:
        """Returns whether the time for the next level has come, if one is needed."""
        return not self._is_published or now - self._published_at >= self._times.interval_s

    def next_level(
        self, previous: Level | None, load: Load, now: float, wall: float, new_key: str
    ) -> Level | None:
        """Returns the level to publish now, or None to keep the stored one. Called when `is_due` is true.

        `previous` is the stored level, `now` is monotonic time and `wall` the time of day.
        `new_key` is the hash key to use if refusing begins with this level.
        """
        refusing = previous is not None and not previous.is_open
        self._is_published = True
        reason = self._overload_reason(load, refusing)
        if previous is None or not refusing:
            return self._begin_refusing(previous, load, reason, now, wall, new_key) if reason else None
        if now - self._term_began_at < self._times.window_s:
            return self._advance_windows(previous, now)  # rates cover less than `window_s`
        if reason:
            self._below_limits_since = None
        elif self._below_limits_long_enough(now):
            self._published_at = now
            return Level(previous.number + 1, wall, previous.key)
        return self._build_level(previous, load, reason or previous.reason, now)

    def _begin_refusing(
        self, previous: Level | None, load: Load, reason: str, now: float, wall: float, new_key: str
    ) -> Level:
        """Returns the first level of a period in which jobs are refused, with a new hash key."""
        self._below_limits_since = None
        self._correction = 1.0
        self._allotted_rates = {}
        number = 0 if previous is None else previous.number
        return self._build_level(Level(number, wall, new_key), load, reason, now)

    def _overload_reason(self, load: Load, refusing: bool) -> str:
        """Returns the reason to refuse jobs, or an empty string if there is none.

        The limits are lower while jobs are already refused (hysteresis).
        """
        ratio = self._times.leave if refusing else self._times.enter
        if sum(load.demand.values()) > ratio * load.sustainable_rps:
            return SUBMISSIONS
        limit_s = self._times.backlog_s * (self._times.leave if refusing else 1.0)
        return BACKLOG if any(seconds > limit_s for seconds in load.backlog_s.values()) else ""

    def _below_limits_long_enough(self, now: float) -> bool:
        if self._below_limits_since is None:
            self._below_limits_since = now
        return now - self._below_limits_since >= self._times.clear_s

    def _advance_windows(self, previous: Level, now: float) -> Level:
        """Returns the next level, with every window advanced and its width unchanged."""
        self._published_at = now
        windows = tuple(
            msgspec.structs.replace(window, start=previous.next_start(window)) for window in previous.windows
        )
        return msgspec.structs.replace(previous, number=previous.number + 1, windows=windows)

    def _build_level(self, previous: Level, load: Load, reason: str, now: float) -> Level:
        """Returns the next level, with window widths computed from the load."""
        self._published_at = now
        self._update_correction(load)
        exempt = load.exempt_teams()
        rates = Allotment(load.capacity, load.demand, load.guarantees, self._times.floors).divide(exempt)
        self._limit_backlog(rates, load, frozenset(exempt))
        windows = tuple(
            window
            for flow, rate in sorted(rates.items())
            if (window := self._next_window(previous, flow, rate, load)) is not None
        )
        self._allotted_rates = {window.flow: rates[window.flow] for window in windows}
        return Level(
            number=previous.number + 1,
            since=previous.since,
            key=previous.key,
            reason=reason,
            accept_rps=round(ACCEPT_RPS_MARGIN * load.capacity, 3) if reason == SUBMISSIONS else 0.0,
            interval_s=self._times.interval_s,
            turn_s=self._times.turn_s,
            windows=windows,
        )

    def _update_correction(self, load: Load) -> None:
        """Update the factor on all window widths by the ratio of allotted to measured acceptances.

        A correction is needed because windows also admit repeated submissions, whose number is unknown.
        """
        allotted = sum(self._allotted_rates.values())
        accepted = sum(load.accepted.get(flow, 0.0) for flow in self._allotted_rates)
        if allotted <= 0:
            return
        step = MAX_CORRECTION_STEP if accepted <= 0 else allotted / accepted
        step = min(MAX_CORRECTION_STEP, max(MIN_CORRECTION_STEP, step))
        self._correction = min(MAX_CORRECTION, max(MIN_CORRECTION, self._correction * step))

    def _limit_backlog(self, rates: dict[Flow, float], load: Load, exempt: frozenset[str]) -> None:
        """Lower the rates of flows whose priority has a backlog above `backlog_s`."""
        for flow, rate in rates.items():
            backlog_s = load.backlog_s.get(flow.priority, 0.0)
            if backlog_s > self._times.backlog_s and flow.team not in exempt:
                share = max(self._times.floors.of(flow.job_class), self._times.backlog_s / backlog_s)
                rates[flow] = min(rate, load.demand[flow] * share)

    def _next_window(self, previous: Level, flow: Flow, rate: float, load: Load) -> Window | None:
        """Returns the flow's next window, or None if its whole demand is admitted."""
        demand = load.demand[flow]
        if rate >= FULLY_ADMITTED_SHARE * demand:
            return None
        floor = self._times.floors.of(flow.job_class)
        width = window_width(rate / demand * self._correction, self._times.turn_s)
        width = max(window_width(floor, self._times.turn_s), width)
        window = previous.window(flow)
        start = 0 if window is None else previous.next_start(window)
        return Window(flow.priority, flow.job_class, flow.team, start, width)
