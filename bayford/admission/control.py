"""How load becomes a level: when refusing begins and ends, and how wide each window is.

No clock and no I/O: times are passed in, and the key of a new level as well.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from bayford.admission.allotment import Allotment, Floors
from bayford.admission.level import POSITIONS, Flow, Level, Window, window_width

LEAST_CORRECTION, MOST_CORRECTION = 0.05, 4.0
LEAST_STEP, MOST_STEP = 0.8, 1.25  # of the correction, from one level to the next
PACE_MARGIN = 1.5  # the pace is a bound on bursts; it is the windows that keep to the capacity
WHOLE = 0.999  # a flow that is given as much of its demand needs no window
SUBMISSIONS, BACKLOG = "submissions", "backlog"


@dataclass(frozen=True, slots=True)
class AdmissionTimes:
    """Settings of the control. Ratios of the capacity, and seconds."""

    interval_s: float
    window_s: float
    turn_s: float
    enter: float
    leave: float
    clear_s: float
    backlog_s: float
    floors: Floors


@dataclass(frozen=True, slots=True)
class Load:
    """What the leader knows of the load at one moment."""

    demand: Mapping[Flow, float]  # new jobs a second
    accepted: Mapping[Flow, float]  # acceptances a second
    capacity: float  # acceptances a second, as the task log allows at the moment
    kept_up: float  # what can go on for ever: more is overload
    guarantees: Mapping[str, float]  # acceptances a second that are each team's own
    over_guarantee: frozenset[str] = frozenset()  # teams whose open work exceeds their guaranteed CPUs
    # Seconds of the whole fleet that the work of each priority and of those above takes; empty while the
    # fleet can still grow.
    backlog_s: Mapping[int, float] = field(default_factory=dict)

    def exempt(self) -> list[str]:
        """Teams within their guarantee: nothing of theirs is refused."""
        asked: dict[str, float] = {}
        for flow, rate in self.demand.items():
            asked[flow.team] = asked.get(flow.team, 0.0) + rate
        return [
            team
            for team, rate in asked.items()
            if team not in self.over_guarantee and rate <= self.guarantees.get(team, 0.0)
        ]


class LevelControl:
    """The levels of one leader's term."""

    def __init__(self, times: AdmissionTimes) -> None:
        self._times = times
        self.begin(0.0)

    def begin(self, now: float) -> None:
        """A term begins: nothing has been measured in it."""
        self._began = now
        self._written = now - self._times.interval_s
        self._published = True
        self._calm_since: float | None = None
        self._correction = 1.0
        self._allotted: dict[Flow, float] = {}

    def not_published(self) -> None:
        """The last level has not been written, as far as is known: the next is due at once."""
        self._published = False

    def is_due(self, now: float) -> bool:
        """Whether it is time for another level, should one be needed."""
        return not self._published or now - self._written >= self._times.interval_s

    def next_level(
        self, before: Level | None, load: Load, now: float, wall: float, new_key: str
    ) -> Level | None:
        """The level to publish now, None to leave the present one. `new_key`: for the first that refuses."""
        refusing = before is not None and not before.is_open
        if not self.is_due(now):
            return None
        self._published = True
        reason = self._overload(load, refusing)
        if before is None or not refusing:
            return self._first(before, load, reason, now, wall, new_key) if reason else None
        if now - self._began < self._times.window_s:
            return self._moved(before, now)  # too little has been measured to change any width
        if reason:
            self._calm_since = None
        elif self._calm_for_long(now):
            self._written = now
            return Level(before.number + 1, wall, before.key)
        return self._refusing(before, load, reason or before.reason, now)

    def _first(
        self, before: Level | None, load: Load, reason: str, now: float, wall: float, new_key: str
    ) -> Level:
        """The level with which refusing begins."""
        self._calm_since = None
        self._correction = 1.0
        self._allotted = {}
        number = 0 if before is None else before.number
        return self._refusing(Level(number, wall, new_key), load, reason, now)

    def _overload(self, load: Load, refusing: bool) -> str:
        """Why jobs have to be refused, empty if they need not be. It takes less to go on than to begin."""
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
        """The next level with the same widths."""
        self._written = now
        windows = tuple(
            msgspec.structs.replace(window, start=(window.start + before.step(window)) % POSITIONS)
            for window in before.windows
        )
        return msgspec.structs.replace(before, number=before.number + 1, windows=windows)

    def _refusing(self, before: Level, load: Load, reason: str, now: float) -> Level:
        self._written = now
        self._correct(load)
        rates = Allotment(load.capacity, load.demand, load.guarantees, self._times.floors).divide(
            load.exempt()
        )
        self._limit_backlog(rates, load)
        windows = [self._window(before, flow, rate, load) for flow, rate in sorted(rates.items())]
        self._allotted = {window.flow: rates[window.flow] for window in windows if window is not None}
        return Level(
            before.number + 1,
            before.since,
            before.key,
            reason,
            round(PACE_MARGIN * load.capacity, 3) if reason == SUBMISSIONS else 0.0,
            self._times.interval_s,
            self._times.turn_s,
            tuple(window for window in windows if window is not None),
        )

    def _correct(self, load: Load) -> None:
        """Repeats come on top of new jobs, how many nobody knows: follow what was really accepted."""
        allotted = sum(self._allotted.values())
        accepted = sum(load.accepted.get(flow, 0.0) for flow in self._allotted)
        if allotted <= 0:
            return
        step = MOST_STEP if accepted <= 0 else allotted / accepted
        step = min(MOST_STEP, max(LEAST_STEP, step))
        self._correction = min(MOST_CORRECTION, max(LEAST_CORRECTION, self._correction * step))

    def _limit_backlog(self, rates: dict[Flow, float], load: Load) -> None:
        exempt = set(load.exempt())
        for flow in rates:
            backlog_s = load.backlog_s.get(flow.priority, 0.0)
            if backlog_s > self._times.backlog_s and flow.team not in exempt:
                share = max(self._times.floors.of(flow.job_class), self._times.backlog_s / backlog_s)
                rates[flow] = min(rates[flow], load.demand[flow] * share)

    def _window(self, before: Level, flow: Flow, rate: float, load: Load) -> Window | None:
        """The flow's next window, None if it is given all that it asks for."""
        demand = load.demand[flow]
        if rate >= WHOLE * demand:
            return None
        floor = self._times.floors.of(flow.job_class)
        width = window_width(rate / demand * self._correction, self._times.turn_s)
        width = max(window_width(floor, self._times.turn_s), width)
        known = before.window(flow)
        start = 0 if known is None else (known.start + before.step(known)) % POSITIONS
        return Window(flow.priority, flow.job_class, flow.team, start, width)
