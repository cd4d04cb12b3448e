"""Whether a submission is admitted: a pure function of the level, the flow and the job's id.

Nothing else is read, so that two controllers that decide by the same level decide alike.
"""

import math
from dataclasses import dataclass

from blake3 import blake3

from bayford.admission.level import POSITIONS, Flow, Level, Window, window_width

LEAST_RETRY_S = 1
MOST_RETRY_S = 30  # users wait no longer than this, whatever they are told
POSITION_BYTES = 2


@dataclass(frozen=True, slots=True)
class Decision:
    """A choice. `retry_after_s`: when the window may have reached a job that is refused now."""

    admitted: bool
    retry_after_s: int = 0


ADMITTED = Decision(True)


def position(key: str, job_id: str) -> int:
    """Where the job lies among `POSITIONS`; nobody who doesn't know the key can choose it."""
    digest = blake3(job_id.encode(), key=bytes.fromhex(key)).digest(length=POSITION_BYTES)
    return int.from_bytes(digest, "big") % POSITIONS


def decide(level: Level | None, flow: Flow, job_id: str) -> Decision:
    """The choice for a job that is not known yet. Without a level everything is admitted."""
    window = None if level is None else level.window(flow)
    if level is None or window is None:
        return ADMITTED
    where = position(level.key, job_id)
    if window.admits(where):
        return ADMITTED
    return Decision(False, retry_after_s(level, window, where))


def levels_until(level: Level, window: Window, where: int) -> int:
    """After how many more levels of the same width the window reaches the position."""
    if window.width <= 0:
        return POSITIONS
    if window.admits(where):
        return 0
    beyond = (where - window.start - window.width) % POSITIONS
    return beyond // level.step(window) + 1


def most_levels(floor: float, interval_s: float, turn_s: float) -> int:
    """The most levels until any job has been admitted in one, with no window narrower than that of `floor`.

    Whatever the widths are meanwhile: a wider window moves on further.
    """
    width = window_width(floor, turn_s)
    step = max(1, int(width * min(1.0, interval_s / turn_s)))
    return math.ceil((POSITIONS - width) / step) + 1


def retry_after_s(level: Level, window: Window, where: int) -> int:
    """When to come back, in whole seconds as the header has it."""
    wait_s = levels_until(level, window, where) * level.interval_s
    return max(LEAST_RETRY_S, min(MOST_RETRY_S, math.ceil(wait_s)))
