"""Whether a submission is admitted: a pure function of the level, the flow and the job's id.

Nothing else is read, so that two controllers that hold the same level decide alike.
"""

import math
from dataclasses import dataclass

from blake3 import blake3

from bayford.admission.level import POSITIONS, Flow, Level, Window, window_step, window_width

MIN_RETRY_S = 1
MAX_RETRY_S = 30  # users retry after this time at the latest, whatever the answer says
POSITION_BYTES = 2  # of the digest: as many values as there are `POSITIONS`


@dataclass(frozen=True, slots=True)
class Decision:
    """The answer to one submission.

    `retry_after_s`: seconds until the window may have reached a job that is refused now, 0 if it is admitted.
    """

    admitted: bool
    retry_after_s: int = 0


ADMITTED = Decision(True)


def position(key: str, job_id: str) -> int:
    """The position of a job, from 0 to `POSITIONS` - 1. Without the key it can't be predicted, so users can't
    choose ids that are admitted. `key`: hexadecimal digits, see `Level.key`."""
    digest = blake3(job_id.encode(), key=bytes.fromhex(key)).digest(length=POSITION_BYTES)
    return int.from_bytes(digest, "big")


def decide(level: Level | None, flow: Flow, job_id: str) -> Decision:
    """The decision on a job that is not stored yet. Without a level everything is admitted."""
    window = None if level is None else level.window(flow)
    if level is None or window is None:
        return ADMITTED
    job_position = position(level.key, job_id)
    if window.admits(job_position):
        return ADMITTED
    return Decision(False, retry_after_s(level, window, job_position))


def levels_to_admission(level: Level, window: Window, job_position: int) -> int:
    """After how many more levels the window admits the position, if its width stays; 0: it does now."""
    if window.width <= 0:
        return POSITIONS
    if window.admits(job_position):
        return 0
    beyond = (job_position - window.start - window.width) % POSITIONS
    return beyond // level.step(window) + 1


def max_levels_to_admission(floor: float, interval_s: float, turn_s: float) -> int:
    """The greatest number of levels until any job is admitted, if no window is narrower than that of `floor`.

    It holds whatever the widths are meanwhile, since a wider window moves on further.
    """
    width = window_width(floor, turn_s)
    return math.ceil((POSITIONS - width) / window_step(width, interval_s, turn_s)) + 1


def retry_after_s(level: Level, window: Window, job_position: int) -> int:
    """When to submit again: whole seconds, as the header `Retry-After` has it."""
    wait_s = levels_to_admission(level, window, job_position) * level.interval_s
    return max(MIN_RETRY_S, min(MAX_RETRY_S, math.ceil(wait_s)))
