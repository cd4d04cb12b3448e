"""Detects that this process was stopped for a while.

A process can be stopped for seconds or minutes while its clocks run on. When it goes on every timer is due,
each thread wakes by itself, and all that any of them knows is as old as the stall. Nothing else tells a stall
from a minute in which nothing came in, so every thread that is about to act asks here first.
"""

import threading
from collections.abc import Callable

# A shorter gap between two checks can't have cost the membership lease, and a busy processor causes gaps,
# too.
STALL_S = 2.0
CHECK_PERIOD_S = 0.25


class StallDetector:
    """When this process last went on after a stall."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()  # guards both times: the first caller after a gap detects it
        self._checked_at = clock()
        self._resumed_at = self._checked_at

    def step(self) -> float:
        """Check once; seconds until the next check."""
        self.resumed_at()
        return CHECK_PERIOD_S

    def resumed_at(self) -> float:
        """When the last stall ended, on the steady clock: what was known before may be old by any length.

        A thread of its own calls `step` every `CHECK_PERIOD_S`; the first call after a gap detects the stall.
        """
        with self._lock:
            now = self._clock()
            if now - self._checked_at > STALL_S:
                self._resumed_at = now
            self._checked_at = now
            return self._resumed_at
