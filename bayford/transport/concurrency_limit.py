"""An adaptive limit on user requests in progress, derived from measured response times.

It is a gradient limit, similar to TCP Vegas. After each window of measurements, the limit is multiplied by
the ratio of the baseline, the median of the fastest window, to the median of this one (with a tolerance, and
never by less than a half). If requests have not become slower and at least half of the limit was used, its
square root is added as headroom. So the limit grows while requests stay fast, and shrinks when they queue
somewhere. Requests beyond the limit are refused at once. Response times are recorded in an HdrHistogram.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1e6  # per second
MIN_RECORDED_US, MAX_RECORDED_US = 1, 119_000_000
HISTOGRAM_MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 2
MIN_MEASUREMENTS = 5  # per window
MAX_BASELINE_RISE = 1.05  # factor per window; lets the baseline follow a permanent slowdown of the machine
MIN_GRADIENT = 0.5
TOLERANCE = 1.5  # a median up to this multiple of the baseline does not lower the limit


class ConcurrencyLimit:
    """Allows up to `limit` requests in progress, and adapts it between two bounds. Called by any thread."""

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
        """`window`: number of measurements after which the limit is adapted. After `window_s`,
        `MIN_MEASUREMENTS` suffice. `min_time_s`: a median below this counts as this value, so changes
        below it have no effect."""
        self._min_limit, self._max_limit = min_limit, max_limit
        self._window, self._window_s = window, window_s
        self._min_time_s = min_time_s
        self._clock = clock
        # Guards all fields below; `limit` and `refused_count` are read without it.
        self._lock = threading.Lock()
        self._limit = start
        self._in_progress = 0
        self._peak_in_progress = 0  # maximum of `_in_progress` in this window
        self._baseline_s: float | None = None  # median of the fastest window
        self._times = HdrHistogram(1, HISTOGRAM_MAX_US, SIGNIFICANT_DIGITS)
        self._window_started_at = clock()
        self.refused_count = 0

    @property
    def limit(self) -> int:
        """Returns the maximum number of requests in progress."""
        return int(self._limit)

    @contextmanager
    def enter(self, share: float = 1.0) -> Iterator[bool]:
        """Yields whether the request may proceed. If so, its time is measured until the context exits.

        `share`: the share of the limit that requests of this kind may use, so that less urgent requests leave
        the rest to others.
        """
        with self._lock:
            entered = self._in_progress < int(self._limit * share)
            if entered:
                self._in_progress += 1
                self._peak_in_progress = max(self._peak_in_progress, self._in_progress)
            else:
                self.refused_count += 1
        if not entered:
            yield False
            return
        started_at = self._clock()
        try:
            yield True
        finally:
            duration_s = self._clock() - started_at
            with self._lock:
                self._in_progress -= 1
                self._measure(duration_s)

    def _measure(self, duration_s: float) -> None:
        """Record the time of one request; adapt the limit at the end of a window. The lock must be held."""
        duration_us = int(duration_s * MICROSECONDS)
        self._times.record_value(max(MIN_RECORDED_US, min(MAX_RECORDED_US, duration_us)))
        now = self._clock()
        count = self._times.get_total_count()
        is_window_over = now - self._window_started_at >= self._window_s and count >= MIN_MEASUREMENTS
        if count < self._window and not is_window_over:
            return
        median_s = max(self._min_time_s, self._times.get_value_at_percentile(50.0) / MICROSECONDS)
        self._times.reset()
        self._window_started_at = now
        self._adapt(median_s)

    def _adapt(self, median_s: float) -> None:
        """Adapt the limit to the median of a window. The lock must be held."""
        baseline_s = median_s if self._baseline_s is None else self._baseline_s
        self._baseline_s = min(median_s, baseline_s * MAX_BASELINE_RISE)
        gradient = max(MIN_GRADIENT, min(1.0, TOLERANCE * self._baseline_s / median_s))
        target = self._limit * gradient
        if gradient >= 1.0 and self._peak_in_progress * 2 >= self._limit:
            target += self._limit**0.5
        self._peak_in_progress = self._in_progress
        self._limit = max(self._min_limit, min(self._max_limit, target))
