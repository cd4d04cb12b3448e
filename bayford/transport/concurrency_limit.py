"""A limit on user requests in progress that follows measured times.

A gradient limit, kin of TCP Vegas: once a window of measurements is full, the limit is multiplied by how
much slower requests have become than the fastest window known (never by less than a half) and a
little headroom is added. While requests are as fast as ever it grows, if it was used; when they queue
somewhere, it shrinks, and what exceeds it is refused at once. Times go into an HdrHistogram.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from hdrh.histogram import HdrHistogram

MICRO = 1e6
DRIFT = 1.05  # how much the baseline may rise in a window, should the machine have become slower for good


class ConcurrencyLimit:
    """At most `limit` requests in progress; `limit` moves between `least` and `most`."""

    def __init__(
        self,
        start: float = 32.0,
        least: float = 6.0,
        most: float = 256.0,
        window: int = 40,
        window_s: float = 10.0,
        floor_s: float = 0.02,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._least, self._most = least, most
        self._window, self._window_s = window, window_s
        self._floor = floor_s  # below this a change of times means nothing
        self._clock = clock
        self._lock = threading.Lock()
        self._limit = start
        self._now = 0
        self._peak = 0
        self._baseline: float | None = None
        self._times = HdrHistogram(1, 120_000_000, 2)
        self._since = clock()
        self.refused = 0

    @property
    def limit(self) -> int:
        """How many requests may be in progress."""
        return int(self._limit)

    @contextmanager
    def enter(self, share: float = 1.0) -> Iterator[bool]:
        """Whether the request may go on; it is measured if so. `share`: how much of the limit is open to
        requests like this one, so that less urgent ones leave some to others."""
        with self._lock:
            entered = self._now < int(self._limit * share)
            if entered:
                self._now += 1
                self._peak = max(self._peak, self._now)
            else:
                self.refused += 1
        if not entered:
            yield False
            return
        began = self._clock()
        try:
            yield True
        finally:
            took = self._clock() - began
            with self._lock:
                self._now -= 1
                self._measure(took)

    def _measure(self, took: float) -> None:
        self._times.record_value(max(1, min(119_000_000, int(took * MICRO))))
        now = self._clock()
        count = self._times.get_total_count()
        if count < self._window and (now - self._since < self._window_s or count < 5):
            return
        median = max(self._floor, self._times.get_value_at_percentile(50.0) / MICRO)
        self._times.reset()
        self._since = now
        known = median if self._baseline is None else self._baseline
        self._baseline = min(median, known * DRIFT)
        gradient = max(0.5, min(1.0, 1.5 * self._baseline / median))
        target = self._limit * gradient
        if gradient >= 1.0 and self._peak * 2 >= self._limit:
            target += self._limit**0.5
        self._peak = self._now
        self._limit = max(self._least, min(self._most, target))
