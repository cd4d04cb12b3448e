"""Detects that this process was suspended.

A process can be suspended for seconds or minutes while its clocks advance. When it resumes, all timers are
due, the threads wake independently of one another, and their data is at least as old as the stall was long.
Nothing else distinguishes a stall from a period without incoming messages, so every thread checks this
detector before it acts.
"""

import threading
from collections.abc import Callable

# A shorter gap between two checks cannot have made the membership lease expire, and a busy processor causes
# short gaps, too.
MIN_STALL_S = 2.0
CHECK_PERIOD_S = 0.25


class StallDetector:
    """Records when this process last resumed after a stall."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()  # guards both times: the first caller after a gap detects it
        self._checked_at = clock()
        self._resumed_at = self._checked_at

    def step(self) -> float:
        """Check once. Returns the seconds until the next check."""
        self.resumed_at()
        return CHECK_PERIOD_S

    def resumed_at(self) -> float:
        """When the last stall ended, on the monotonic clock. Data received before may be arbitrarily old.

        A dedicated thread calls `step` every `CHECK_PERIOD_S`; the first call after a gap detects the stall,
        whichever thread makes it.
        """
        with self._lock:
            now = self._clock()
            if now - self._checked_at > MIN_STALL_S:
                self._resumed_at = now
            self._checked_at = now
            return self._resumed_at
