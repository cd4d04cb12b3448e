"""What is known of the load: rates of events by flow, and the capacity for acceptances."""

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

EventKey = TypeVar("EventKey", bound=Hashable)

DECREASE = 0.85  # factor of the capacity when the task log is held up
INCREASE = 0.05  # of `kept_up`, added otherwise
MIN_CAPACITY, MAX_CAPACITY = 0.25, 1.8  # of `kept_up`
MAX_HARMLESS_REFUSALS = 1  # so many refused transactions in an interval come of bursts that meet
MAX_LAG_S = 60.0  # the task log is held up when it is so far behind with jobs that are done
SPARE_SHARE = 0.08  # of the changes a second, for leases, levels and cancellations
MIN_TASK_LOG_SHARE = 0.25  # of the changes a second


class Rates(Generic[EventKey]):
    """Events a second by key, over the last `window_s` seconds. Not locked: that is for the caller."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._events: deque[tuple[float, EventKey, int]] = deque()
        self._counts: dict[EventKey, int] = {}

    def note(self, key: EventKey, now: float, count: int = 1) -> None:
        """Count `count` events of the key at `now`."""
        if count <= 0:
            return
        self._events.append((now, key, count))
        self._counts[key] = self._counts.get(key, 0) + count
        self._forget(now)

    def rates(self, now: float) -> dict[EventKey, float]:
        """Events a second of each key that had any."""
        self._forget(now)
        return {key: count / self._window_s for key, count in self._counts.items()}

    def _forget(self, now: float) -> None:
        while self._events and self._events[0][0] <= now - self._window_s:
            _, key, count = self._events.popleft()
            self._counts[key] -= count
            if not self._counts[key]:
                del self._counts[key]


class AcceptanceCapacity:
    """Acceptances a second that the state service takes beside the task log.

    A job costs a change when it is accepted and one when it is done. In a flood the second may wait for a
    while, so refusing begins with a capacity above what can be kept up, and comes down to it as the task log
    falls behind: multiplicative decrease, additive increase. A transaction of the task log needs many changes
    at once, and single acceptances that use the whole rate would keep it from ever being accepted; so each of
    the two has a part of its own.
    """

    def __init__(self, kept_up: float, write_rps: float) -> None:
        """`kept_up`: acceptances a second that can be sustained. `write_rps`: changes a second in all."""
        self.kept_up = kept_up
        self.per_s = MAX_CAPACITY * kept_up
        self._write_rps = write_rps

    def task_log_rps(self) -> float:
        """Changes a second that are left to the task log while jobs are refused."""
        return max(MIN_TASK_LOG_SHARE * self._write_rps, (1.0 - SPARE_SHARE) * self._write_rps - self.per_s)

    def update(self, refusing: bool, refused: int, lag_s: float) -> None:
        """Adapt the capacity, once an interval.

        `refusing`: whether jobs are refused now. `refused`: transactions of the task log that the state
        service refused in the interval. `lag_s`: how far the task log is behind. While no jobs are refused
        the capacity limits nothing, so refusals and lag say nothing of it.
        """
        if not refusing:
            self.per_s = MAX_CAPACITY * self.kept_up
        elif refused > MAX_HARMLESS_REFUSALS or lag_s > MAX_LAG_S:
            self.per_s = max(MIN_CAPACITY * self.kept_up, self.per_s * DECREASE)
        else:
            self.per_s = min(MAX_CAPACITY * self.kept_up, self.per_s + INCREASE * self.kept_up)
