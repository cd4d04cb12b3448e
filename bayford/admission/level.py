"""The admission level: which part of each flow is admitted, as the leader publishes it.

One value under `b/admission`. Every controller reads it and decides by it alone (`admission.choice`); only
the leader writes it (`admission.control`).
"""

from dataclasses import dataclass
from typing import Any

import msgspec

from bayford.storage import records

VERSION = 1
POSITIONS = 1 << 16  # values that a job's keyed hash may have
KEY_BYTES = 32
REPEAT_S = 60.0  # how long users repeat a submission, by the protocol
OTHER_CLASS = ""  # all classes of jobs that the deployment does not name


class UnreadableLevelError(Exception):
    """A stored value that is not a level of this form. Callers admit everything then."""


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
    form: int = msgspec.field(name="v", default=VERSION)  # of the stored value

    @property
    def is_open(self) -> bool:
        """Whether everything is admitted, unpaced."""
        return not self.windows and not self.accept_rps

    def window(self, flow: Flow) -> Window | None:
        """The flow's window, None if the flow is admitted whole."""
        return next((window for window in self.windows if window.flow == flow), None)

    def step(self, window: Window) -> int:
        """How many positions the window moves on from this level to the next."""
        return window_step(window.width, self.interval_s, self.turn_s)

    def next_start(self, window: Window) -> int:
        """The position at which the window starts in the next level."""
        return (window.start + self.step(window)) % POSITIONS


def window_step(width: int, interval_s: float, turn_s: float) -> int:
    """How many positions a window of this width moves on from one level to the next, 1 or more.

    It moves by its own width in `turn_s`, and never by more than its width, so that it skips no position.
    """
    return max(1, int(width * min(1.0, interval_s / turn_s)))


def window_width(share: float, turn_s: float) -> int:
    """The width of a window that admits about this share of the new jobs, 1 to `POSITIONS`.

    A window meets new jobs, and jobs that were refused before and are submitted again once it has moved on
    to them, for as long as users repeat a submission.
    """
    met_per_new_job = 1.0 + REPEAT_S / turn_s
    return max(1, min(POSITIONS, int(share / met_per_new_job * POSITIONS)))


def encode(level: Level, max_bytes: int) -> Any:
    """The value to store, in at most `max_bytes`: the narrowest windows are kept, since flows without one
    are admitted whole."""
    windows = sorted(level.windows, key=lambda window: window.width)
    while True:
        value = msgspec.to_builtins(msgspec.structs.replace(level, windows=tuple(windows)))
        if records.size(value) <= max_bytes or not windows:
            return value
        windows = windows[: len(windows) * 9 // 10]


def decode(value: Any) -> Level:
    """A level from its value. UnreadableLevelError: it is not a level of this form."""
    try:
        level = msgspec.convert(value, Level)
        key = bytes.fromhex(level.key)
    except (msgspec.ValidationError, ValueError) as error:
        raise UnreadableLevelError(f"not an admission level: {error}") from error
    if level.form != VERSION:
        raise UnreadableLevelError(f"an admission level of version {level.form}")
    if len(key) != KEY_BYTES or level.interval_s <= 0 or level.turn_s <= 0 or level.accept_rps < 0:
        raise UnreadableLevelError("not an admission level: a field is out of range")
    return level
