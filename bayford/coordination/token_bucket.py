"""Rates under the limits that all controllers share at the state service and the cloud."""

import threading
import time
from collections.abc import Callable


class TokenBucket:
    """A token bucket: `rate` a second, at most `burst` saved up."""

    def __init__(self, rate: float, burst: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.rate = rate
        self.burst = burst
        self._clock = clock
        self._lock = threading.Lock()
        self._have = burst
        self._at = clock()

    def _fill(self) -> None:
        now = self._clock()
        self._have = min(self.burst, self._have + (now - self._at) * self.rate)
        self._at = now

    def available(self) -> float:
        """What could be taken now."""
        with self._lock:
            self._fill()
            return self._have

    def wait_s(self, count: float) -> float:
        """How long until so much is there."""
        with self._lock:
            self._fill()
            return max(0.0, (count - self._have) / self.rate)

    def take(self, count: float) -> None:
        """Take, going into debt if need be: what was sent has been sent."""
        with self._lock:
            self._fill()
            self._have -= count

    def drain(self) -> None:
        """The service said 429: somebody else used what we counted on."""
        with self._lock:
            self._fill()
            self._have = min(self._have, 0.0)
