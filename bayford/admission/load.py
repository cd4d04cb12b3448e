"""Measures the load for admission control: rates of events, and the capacity for accepting jobs."""

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

EventKey = TypeVar("EventKey", bound=Hashable)

DECREASE = 0.85  # factor on the capacity when the task log is delayed
INCREASE = 0.05  # share of `sustainable_rps` that is added otherwise
MIN_CAPACITY, MAX_CAPACITY = 0.25, 1.8  # share of `sustainable_rps`
MAX_IGNORED_REFUSALS = 1  # per interval; coinciding bursts can cause one refused transaction
MAX_LAG_S = 60.0  # a task log that is further behind with completed jobs counts as delayed
SPARE_SHARE = 0.08  # share of the write rate that is left to leases, levels and cancellations
MIN_TASK_LOG_SHARE = 0.25  # share of the write rate


class Rates(Generic[EventKey]):
    """Events per second by key, over the last `window_s` seconds. Not thread-safe: the caller must lock."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._events: deque[tuple[float, EventKey, int]] = deque()
        self._counts: dict[EventKey, int] = {}

    def add(self, key: EventKey, now: float, count: int = 1) -> None:
        """Add `count` events of the key at the time `now`."""
        if count <= 0:
            return
        self._events.append((now, key, count))
        self._counts[key] = self._counts.get(key, 0) + count
        self._expire(now)

    def rates(self, now: float) -> dict[EventKey, float]:
        """Returns the events per second of each key that had events in the window."""
        self._expire(now)
        return {key: count / self._window_s for key, count in self._counts.items()}

    def _expire(self, now: float) -> None:
        while self._events and self._events[0][0] <= now - self._window_s:
            _, key, count = self._events.popleft()
            self._counts[key] -= count
            if not self._counts[key]:
                del self._counts[key]


class AcceptanceCapacity:
    """The rate of acceptances, per second, that the key-value store can take in addition to the task log.

    A job costs one write when it is accepted and one when it is done. In a flood of submissions the second
    write can be delayed, so the capacity starts above the sustainable rate when refusing begins and falls to
    that rate as the task log gets behind: multiplicative decrease, additive increase. A task log transaction
    needs many writes at once and would never be accepted if single acceptances used the whole write rate, so
    each of the two has its own part of the write rate.
    """

    def __init__(self, sustainable_rps: float, write_rps: float) -> None:
        """`sustainable_rps`: sustainable acceptances per second. `write_rps`: all writes per second."""
        self.sustainable_rps = sustainable_rps
        self.acceptances_per_s = MAX_CAPACITY * sustainable_rps
        self._write_rps = write_rps

    def task_log_rps(self) -> float:
        """Returns the writes per second that are left to the task log while jobs are refused."""
        return max(
            MIN_TASK_LOG_SHARE * self._write_rps,
            (1.0 - SPARE_SHARE) * self._write_rps - self.acceptances_per_s,
        )

    def update(self, refusing: bool, refused: int, lag_s: float) -> None:
        """Adapt the capacity. Called once per interval.

        `refusing`: whether jobs are refused now. `refused`: task log transactions that the key-value store
        refused in the interval. `lag_s`: how far the task log is behind. While no jobs are refused the
        capacity limits nothing, so `refused` and `lag_s` are no measure of it and are ignored.
        """
        if not refusing:
            self.acceptances_per_s = MAX_CAPACITY * self.sustainable_rps
        elif refused > MAX_IGNORED_REFUSALS or lag_s > MAX_LAG_S:
            self.acceptances_per_s = max(
                MIN_CAPACITY * self.sustainable_rps, self.acceptances_per_s * DECREASE
            )
        else:
            self.acceptances_per_s = min(
                MAX_CAPACITY * self.sustainable_rps, self.acceptances_per_s + INCREASE * self.sustainable_rps
            )
