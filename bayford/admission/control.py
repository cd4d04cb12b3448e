"""How load becomes a level: when refusing begins and ends, and how wide each window is.

No clock and no I/O: times are passed in, and the key of a new level as well.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from bayford.admission.allotment import Allotment, Floors
from bayford.admission.level import Flow, Level, Window, window_width

MIN_CORRECTION, MAX_CORRECTION = 0.05, 4.0
MIN_CORRECTION_STEP, MAX_CORRECTION_STEP = 0.8, 1.25  # factor from one level to the next
PACE_MARGIN = 1.5  # the pace is a bound on bursts; it is the windows that keep to the capacity
ADMITTED_WHOLE = 0.999  # a flow that is given this share of its demand needs no window
SUBMISSIONS, BACKLOG = "submissions", "backlog"  # the reasons of a level, as they are stored


@dataclass(frozen=True, slots=True)
class AdmissionTimes:
    """Settings of the control."""

    interval_s: float  # from one level to the next
    window_s: float  # over which rates are measured
    turn_s: float  # in which a window moves on by its own width
    enter: float  # refusing begins above this ratio of the demand to what can be kept up
    leave: float  # and ends below this one, for either reason
    clear_s: float  # after so long below it
    backlog_s: float  # refusing for backlog begins above so many seconds of the whole fleet's work
    floors: Floors


@dataclass(frozen=True, slots=True)
class Load:
    """What the leader knows of the load at one moment; all rates are of jobs a second."""

    demand: Mapping[Flow, float]  # new jobs
    accepted: Mapping[Flow, float]  # acceptances
    capacity: float  # acceptances, as the task log allows at the moment
    kept_up: float  # acceptances that can be sustained: more is overload
    guarantees: Mapping[str, float]  # acceptances that are each team's own
    over_guarantee: frozenset[str] = frozenset()  # teams whose open work exceeds their guaranteed CPUs
    # Seconds of the whole fleet that the work of each priority and of those above takes; empty while the
    # fleet can still grow.
    backlog_s: Mapping[int, float] = field(default_factory=dict)

    def exempt(self) -> list[str]:
        """Teams within their guarantee: none of their jobs is refused. Worked out at each call."""
        demand_by_team: dict[str, float] = {}
        for flow, rate in self.demand.items():
            demand_by_team[flow.team] = demand_by_team.get(flow.team, 0.0) + rate
        return [
            team
            for team, rate in demand_by_team.items()
            if team not in self.over_guarantee and rate <= self.guarantees.get(team, 0.0)
        ]


class LevelControl:
    """The levels of one leader's term. Not locked: that is for the caller."""

    def __init__(self, times: AdmissionTimes) -> None:
        self._times = times
        self.begin(0.0)

    def begin(self, now: float) -> None:
        """Begin a term: nothing has been measured in it."""
        self._began_at = now
        self._published_at = now - self._times.interval_s
        self._published = True
        self._calm_since: float | None = None
        self._correction = 1.0
        self._allotted: dict[Flow, float] = {}

    def not_published(self) -> None:
        """The write of the last level failed, or its outcome is unknown: the next is due at once."""
        self._published = False

    def is_due(self, now: float) -> bool:
        """Whether it is time for another level, should one be needed."""
        return not self._published or now - self._published_at >= self._times.interval_s

    def next_level(
        self, before: Level | None, load: Load, now: float, wall: float, new_key: str
    ) -> Level | None:
        """The level to publish now, None to leave the present one. To be called when `is_due` says so.

        `before`: the level that is stored. `now` is of the caller's steady clock, `wall` the time of day.
        `new_key`: the hash key of the level with which refusing begins, should this be it.
        """
        refusing = before is not None and not before.is_open
        self._published = True
        reason = self._overload(load, refusing)
        if before is None or not refusing:
            return self._first(before, load, reason, now, wall, new_key) if reason else None
        if now - self._began_at < self._times.window_s:
            return self._moved(before, now)  # too little has been measured to change any width
        if reason:
            self._calm_since = None
        elif self._calm_for_long(now):
            self._published_at = now
            return Level(before.number + 1, wall, before.key)
        return self._refusing(before, load, reason or before.reason, now)

    def _first(
        self, before: Level | None, load: Load, reason: str, now: float, wall: float, new_key: str
    ) -> Level:
        """The first level of a time of refusing, with a hash key of its own."""
        self._calm_since = None
        self._correction = 1.0
        self._allotted = {}
        number = 0 if before is None else before.number
        return self._refusing(Level(number, wall, new_key), load, reason, now)

    def _overload(self, load: Load, refusing: bool) -> str:
        """Why jobs have to be refused, empty if they need not be. Less load is enough to go on."""
        ratio = self._times.leave if refusing else self._times.enter
        if sum(load.demand.values()) > ratio * load.kept_up:
            return SUBMISSIONS
        limit_s = self._times.backlog_s * (self._times.leave if refusing else 1.0)
        return BACKLOG if any(seconds > limit_s for seconds in load.backlog_s.values()) else ""

    def _calm_for_long(self, now: float) -> bool:
        if self._calm_since is None:
            self._calm_since = now
        return now - self._calm_since >= self._times.clear_s

    def _moved(self, before: Level, now: float) -> Level:
        """The next level, with windows of the same widths."""
        self._published_at = now
        windows = tuple(
            msgspec.structs.replace(window, start=before.next_start(window)) for window in before.windows
        )
        return msgspec.structs.replace(before, number=before.number + 1, windows=windows)

    def _refusing(self, before: Level, load: Load, reason: str, now: float) -> Level:
        """The next level, with widths that follow the load."""
        self._published_at = now
        self._correct(load)
        exempt = load.exempt()
        rates = Allotment(load.capacity, load.demand, load.guarantees, self._times.floors).divide(exempt)
        self._limit_backlog(rates, load, frozenset(exempt))
        windows = tuple(
            window
            for flow, rate in sorted(rates.items())
            if (window := self._window(before, flow, rate, load)) is not None
        )
        self._allotted = {window.flow: rates[window.flow] for window in windows}
        return Level(
            number=before.number + 1,
            since=before.since,
            key=before.key,
            reason=reason,
            accept_rps=round(PACE_MARGIN * load.capacity, 3) if reason == SUBMISSIONS else 0.0,
            interval_s=self._times.interval_s,
            turn_s=self._times.turn_s,
            windows=windows,
        )

    def _correct(self, load: Load) -> None:
        """Adapt the widths by what was really accepted: repeats, whose number is unknown, add to new jobs."""
        allotted = sum(self._allotted.values())
        accepted = sum(load.accepted.get(flow, 0.0) for flow in self._allotted)
        if allotted <= 0:
            return
        step = MAX_CORRECTION_STEP if accepted <= 0 else allotted / accepted
        step = min(MAX_CORRECTION_STEP, max(MIN_CORRECTION_STEP, step))
        self._correction = min(MAX_CORRECTION, max(MIN_CORRECTION, self._correction * step))

    def _limit_backlog(self, rates: dict[Flow, float], load: Load, exempt: frozenset[str]) -> None:
        """Lower the rates of flows whose priority has too much waiting work."""
        for flow, rate in rates.items():
            backlog_s = load.backlog_s.get(flow.priority, 0.0)
            if backlog_s > self._times.backlog_s and flow.team not in exempt:
                share = max(self._times.floors.of(flow.job_class), self._times.backlog_s / backlog_s)
                rates[flow] = min(rate, load.demand[flow] * share)

    def _window(self, before: Level, flow: Flow, rate: float, load: Load) -> Window | None:
        """The flow's next window, None if the flow is given all that it asks for."""
        demand = load.demand[flow]
        if rate >= ADMITTED_WHOLE * demand:
            return None
        floor = self._times.floors.of(flow.job_class)
        width = window_width(rate / demand * self._correction, self._times.turn_s)
        width = max(window_width(floor, self._times.turn_s), width)
        window = before.window(flow)
        start = 0 if window is None else before.next_start(window)
        return Window(flow.priority, flow.job_class, flow.team, start, width)
