"""A limit on user requests in progress that follows measured times.

A gradient limit, similar to TCP Vegas: once a window of measurements is full, the limit is multiplied by how
much slower requests have become than in the fastest window known (never by less than a half) and a
little headroom is added. While requests are as fast as ever it grows, if it was used; when they queue
somewhere, it shrinks, and what exceeds it is refused at once. Times go into an HdrHistogram.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1e6  # in a second
MIN_RECORDED_US, MAX_RECORDED_US = 1, 119_000_000
HISTOGRAM_MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 2
MIN_MEASUREMENTS = 5  # in a window
MAX_BASELINE_RISE = 1.05  # factor from one window to the next, should the machine have become slower for good
MIN_GRADIENT = 0.5
TOLERANCE = 1.5  # a median so many times the baseline does not lower the limit yet


class ConcurrencyLimit:
    """At most `limit` requests in progress; `limit` moves between two bounds. Called by any thread."""

    def __init__(
        self,
        start: float = 32.0,
        min_limit: float = 6.0,
        max_limit: float = 256.0,
        window: int = 40,
        window_s: float = 10.0,
        min_time_s: float = 0.02,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`window`: measurements after which the limit is adapted; after `window_s` fewer are enough.
        `min_time_s`: below this a change of times means nothing."""
        self._min_limit, self._max_limit = min_limit, max_limit
        self._window, self._window_s = window, window_s
        self._min_time_s = min_time_s
        self._clock = clock
        self._lock = threading.Lock()  # guards all below; `limit` and `refused` are read without it
        self._limit = start
        self._in_progress = 0
        self._peak = 0  # of the requests in progress, in this window
        self._baseline_s: float | None = None  # median of the fastest window
        self._times = HdrHistogram(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)
        self._window_began_at = clock()
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
            entered = self._in_progress < int(self._limit * share)
            if entered:
                self._in_progress += 1
                self._peak = max(self._peak, self._in_progress)
            else:
                self.refused += 1
        if not entered:
            yield False
            return
        began_at = self._clock()
        try:
            yield True
        finally:
            took_s = self._clock() - began_at
            with self._lock:
                self._in_progress -= 1
                self._measure(took_s)

    def _measure(self, took_s: float) -> None:
        """Record one request; adapt the limit if that fills the window. Called under the lock."""
        took_us = int(took_s * MICROSECONDS)
        self._times.record_value(max(MIN_RECORDED_US, min(MAX_RECORDED_US, took_us)))
        now = self._clock()
        count = self._times.get_total_count()
        window_over = now - self._window_began_at >= self._window_s and count >= MIN_MEASUREMENTS
        if count < self._window and not window_over:
            return
        median_s = max(self._min_time_s, self._times.get_value_at_percentile(50.0) / MICROSECONDS)
        self._times.reset()
        self._window_began_at = now
        self._adapt(median_s)

    def _adapt(self, median_s: float) -> None:
        """Move the limit by the median of a window. Called under the lock."""
        known_s = median_s if self._baseline_s is None else self._baseline_s
        self._baseline_s = min(median_s, known_s * MAX_BASELINE_RISE)
        gradient = max(MIN_GRADIENT, min(1.0, TOLERANCE * self._baseline_s / median_s))
        target = self._limit * gradient
        if gradient >= 1.0 and self._peak * 2 >= self._limit:
            target += self._limit**0.5
        self._peak = self._in_progress
        self._limit = max(self._min_limit, min(self._max_limit, target))
