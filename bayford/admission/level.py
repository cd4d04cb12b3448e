"""The admission level: the part of each flow of submissions that is admitted, as published by the leader.

The level is a single value under `b/admission`. Only the leader writes it (`admission.control`). Every
controller reads it and decides on submissions from it alone (`admission.choice`).
"""

from dataclasses import dataclass
from typing import Any

import msgspec

from bayford.storage import records

VERSION = 1
POSITIONS = 1 << 16  # number of values of a job's keyed hash
KEY_BYTES = 32
REPEAT_S = 60.0  # how long the protocol lets users repeat a submission
OTHER_CLASS = ""  # stands for all job classes that the deployment does not name


class UnreadableLevelError(Exception):
    """A stored value is not a level of this version. Callers then admit everything."""


@dataclass(frozen=True, slots=True, order=True)
class Flow:
    """Identifies submissions that share one window: those of one priority, job class and team."""

    priority: int
    job_class: str
    team: str


class Window(msgspec.Struct, frozen=True, array_like=True):
    """The hash positions of a flow that are admitted: `width` positions from `start`, modulo `POSITIONS`."""

    priority: int
    job_class: str
    team: str
    start: int
    width: int

    @property
    def flow(self) -> Flow:
        """The flow to which the window applies."""
        return Flow(self.priority, self.job_class, self.team)

    def admits(self, position: int) -> bool:
        """Returns whether a job at this position is admitted."""
        return (position - self.start) % POSITIONS < self.width


class Level(msgspec.Struct, frozen=True):
    """One admission level. With no windows and `accept_rps` 0, all jobs are admitted at any rate."""

    number: int
    since: float  # time of day at which refusing jobs began or ended
    key: str  # hexadecimal key of the hash that maps job ids to positions
    reason: str = ""
    accept_rps: float = 0.0  # limit on acceptances per second, all controllers together; 0: no limit
    interval_s: float = 2.0  # between two levels, while jobs are refused
    turn_s: float = 60.0  # time in which a window advances by its own width
    windows: tuple[Window, ...] = ()
    form: int = msgspec.field(name="v", default=VERSION)  # version of the stored value

    @property
    def is_open(self) -> bool:
        """Whether all jobs are admitted, without a limit on the acceptance rate."""
        return not self.windows and not self.accept_rps

    def window(self, flow: Flow) -> Window | None:
        """Returns the flow's window, or None if all its jobs are admitted."""
        return next((window for window in self.windows if window.flow == flow), None)

    def step(self, window: Window) -> int:
        """Returns by how many positions the window advances from this level to the next."""
        return window_step(window.width, self.interval_s, self.turn_s)

    def next_start(self, window: Window) -> int:
        """Returns the position at which the window starts in the next level."""
        return (window.start + self.step(window)) % POSITIONS


def window_step(width: int, interval_s: float, turn_s: float) -> int:
    """Returns by how many positions, at least 1, a window of this width advances from one level to the next.

    A window advances by its own width in `turn_s`, and at most by its width per level so that no position is
    skipped.
    """
    return max(1, int(width * min(1.0, interval_s / turn_s)))


def window_width(share: float, turn_s: float) -> int:
    """Returns the width, 1 to `POSITIONS`, of a window that admits about this share of the new jobs.

    Beside new jobs, a window admits jobs that were refused earlier and are submitted again after the window
    has advanced to their positions. Users repeat a submission for `REPEAT_S`.
    """
    submissions_per_new_job = 1.0 + REPEAT_S / turn_s
    return max(1, min(POSITIONS, int(share / submissions_per_new_job * POSITIONS)))


def encode(level: Level, max_bytes: int) -> Any:
    """Returns the value to store, at most `max_bytes` long.

    If not all windows fit, the widest are dropped, which admits all jobs of their flows.
    """
    windows = sorted(level.windows, key=lambda window: window.width)
    while True:
        value = msgspec.to_builtins(msgspec.structs.replace(level, windows=tuple(windows)))
        if records.encoded_size(value) <= max_bytes or not windows:
            return value
        windows = windows[: len(windows) * 9 // 10]


def decode(value: Any) -> Level:
    """Returns the stored level. Raises UnreadableLevelError if the version or a field is not valid."""
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
