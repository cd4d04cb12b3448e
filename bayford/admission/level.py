"""The admission level: which part of which flow is admitted, as the leader publishes it.

One value under `b/admission`. Every controller reads it and makes the same choice by it
(`admission.choice`); the leader alone writes it (`admission.control`).
"""

from dataclasses import dataclass
from typing import Any

import msgspec

from bayford.storage import records

VERSION = 1
POSITIONS = 1 << 16  # where a job's keyed hash may lie
KEY_BYTES = 32
REPEAT_S = 60.0  # how long users repeat a submission, by the protocol
OTHER_CLASS = ""  # all classes of jobs that the deployment does not name


class UnreadableLevelError(Exception):
    """A stored value that is not a level of this form. It admits everything."""


@dataclass(frozen=True, slots=True, order=True)
class Flow:
    """Submissions that are admitted alike: one priority, class and team."""

    priority: int
    job_class: str
    team: str


class Window(msgspec.Struct, frozen=True, array_like=True):
    """The positions of a flow that are admitted: `width` of them from `start` on, around the end."""

    priority: int
    job_class: str
    team: str
    start: int
    width: int

    @property
    def flow(self) -> Flow:
        """Whose window it is."""
        return Flow(self.priority, self.job_class, self.team)

    def admits(self, position: int) -> bool:
        """Whether a job at this position is admitted."""
        return (position - self.start) % POSITIONS < self.width


class Level(msgspec.Struct, frozen=True):
    """One level. Without windows, and with `accept_rps` 0, everything is admitted and nothing is paced."""

    number: int
    since: float  # time of day since which jobs are refused, or since which none are
    key: str  # of the hash that gives jobs their positions, in hexadecimal digits
    reason: str = ""
    accept_rps: float = 0.0  # acceptances a second, at all controllers together; 0: not paced
    interval_s: float = 2.0  # from one level to the next, while jobs are refused
    turn_s: float = 60.0  # in which a window moves on by its own width
    windows: tuple[Window, ...] = ()
    v: int = VERSION

    @property
    def is_open(self) -> bool:
        """Whether everything is admitted, unpaced."""
        return not self.windows and not self.accept_rps

    def window(self, flow: Flow) -> Window | None:
        """The flow's window, None if the flow is admitted whole."""
        return next((window for window in self.windows if window.flow == flow), None)

    def step(self, window: Window) -> int:
        """How many positions the window moves on from this level to the next."""
        return max(1, int(window.width * min(1.0, self.interval_s / self.turn_s)))


def window_width(share: float, turn_s: float) -> int:
    """The width of a window that admits about this share of the jobs.

    Of the jobs that a window finds some are new; others have been refused and come back when it has moved
    on to them, for as long as users repeat.
    """
    waiting = 1.0 + REPEAT_S / turn_s
    return max(1, min(POSITIONS, int(share / waiting * POSITIONS)))


def encode(level: Level, most: int) -> Any:
    """The value to store, in at most `most` bytes: the narrowest windows are kept, since flows without one
    are admitted whole."""
    windows = sorted(level.windows, key=lambda window: window.width)
    while True:
        value = msgspec.to_builtins(msgspec.structs.replace(level, windows=tuple(windows)))
        if records.size(value) <= most or not windows:
            return value
        windows = windows[: len(windows) * 9 // 10]


def decode(value: Any) -> Level:
    """A level from its value."""
    try:
        level = msgspec.convert(value, Level)
        key = bytes.fromhex(level.key)
    except (msgspec.ValidationError, ValueError) as bad:
        raise UnreadableLevelError(f"not an admission level: {bad}") from bad
    if level.v != VERSION:
        raise UnreadableLevelError(f"an admission level of version {level.v}")
    if len(key) != KEY_BYTES or level.interval_s <= 0 or level.turn_s <= 0 or level.accept_rps < 0:
        raise UnreadableLevelError("not an admission level: a field is out of range")
    return level
