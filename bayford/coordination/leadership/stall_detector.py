"""Whether this process has stood still.

A process can be stopped for seconds, or minutes, while its clocks run on: every timer is due when it goes
on, each thread wakes alone, and all that any of them knows is as old as the standstill. No other sign tells
it from a minute in which nothing came in. So every thread that is about to act asks here first.
"""

import threading
from collections.abc import Callable

# A shorter gap between two checks can't have cost us the membership, and a busy processor makes gaps too.
STALL_S = 2.0
CHECK_PERIOD_S = 0.25


class StallDetector:
    """When this process last went on after a standstill."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._checked_at = clock()
        self._resumed_at = self._checked_at

    def resumed_at(self) -> float:
        """What was known before this moment may be old by any length of time.

        A thread of its own calls this every `CHECK_PERIOD_S`. Whoever calls first after a gap finds it.
        """
        with self._lock:
            now = self._clock()
            if now - self._checked_at > STALL_S:
                self._resumed_at = now
            self._checked_at = now
            return self._resumed_at
