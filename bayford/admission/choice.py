"""Decides whether a submission is admitted: a pure function of the level, the flow and the job id.

It has no other input, so two controllers with the same level make the same decision.
"""

import math
from dataclasses import dataclass

from blake3 import blake3

from bayford.admission.level import POSITIONS, Flow, Level, Window, window_step, window_width

MIN_RETRY_S = 1
MAX_RETRY_S = 30  # users retry after at most this time, whatever `Retry-After` is
POSITION_BYTES = 2  # digest length that gives `POSITIONS` values


@dataclass(frozen=True, slots=True)
class Decision:
    """The decision on one submission.

    `retry_after_s`: seconds until the window may reach the position of a refused job; 0 for an admitted job.
    """

    admitted: bool
    retry_after_s: int = 0


ADMITTED = Decision(True)


def position(key: str, job_id: str) -> int:
    """Returns the position of a job, from 0 to `POSITIONS` - 1. `key` is hexadecimal, see `Level.key`.

    The position can't be predicted without the key, so users can't choose job ids that are admitted.
    """
    digest = blake3(job_id.encode(), key=bytes.fromhex(key)).digest(length=POSITION_BYTES)
    return int.from_bytes(digest, "big")


def decide(level: Level | None, flow: Flow, job_id: str) -> Decision:
    """Returns the decision on a job that is not stored yet. Without a level every job is admitted."""
    window = None if level is None else level.window(flow)
    if level is None or window is None:
        return ADMITTED
    job_position = position(level.key, job_id)
    if window.admits(job_position):
        return ADMITTED
    return Decision(False, retry_after_s(level, window, job_position))


def levels_to_admission(level: Level, window: Window, job_position: int) -> int:
    """Returns after how many more levels the window admits the position if its width stays; 0 means now."""
    if window.width <= 0:
        return POSITIONS
    if window.admits(job_position):
        return 0
    distance = (job_position - window.start - window.width) % POSITIONS
    return distance // level.step(window) + 1


def max_levels_to_admission(floor: float, interval_s: float, turn_s: float) -> int:
    """Returns the most levels that any job waits for admission if no window is narrower than that of `floor`.

    The bound holds even if widths change meanwhile, since a wider window advances further per level.
    """
    width = window_width(floor, turn_s)
    return math.ceil((POSITIONS - width) / window_step(width, interval_s, turn_s)) + 1


def retry_after_s(level: Level, window: Window, job_position: int) -> int:
    """Returns after how many whole seconds to submit again, for the `Retry-After` header."""
    wait_s = levels_to_admission(level, window, job_position) * level.interval_s
    return max(MIN_RETRY_S, min(MAX_RETRY_S, math.ceil(wait_s)))
