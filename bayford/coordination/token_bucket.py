"""A token bucket, for the rates that all controllers share at the state service and the cloud."""

import threading
import time
from collections.abc import Callable


class TokenBucket:
    """Tokens come in at `rate` a second; at most `burst` of them are saved up. Any thread may use it."""

    def __init__(self, rate: float, burst: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.rate = rate
        self.burst = burst
        self._clock = clock
        self._lock = threading.Lock()  # guards the tokens and when they were counted
        self._tokens = burst
        self._counted_at = clock()

    def _refill(self) -> None:
        now = self._clock()
        self._tokens = min(self.burst, self._tokens + (now - self._counted_at) * self.rate)
        self._counted_at = now

    def available(self) -> float:
        """How many tokens there are; below 0 after a debt."""
        with self._lock:
            self._refill()
            return self._tokens

    def wait_s(self, count: float) -> float:
        """Seconds until there are `count` tokens."""
        with self._lock:
            self._refill()
            return max(0.0, (count - self._tokens) / self.rate)

    def take(self, count: float) -> None:
        """Take tokens for something that is being sent, going into debt if need be."""
        with self._lock:
            self._refill()
            self._tokens -= count

    def drain(self) -> None:
        """Drop what is saved up: the service has answered 429, so others have used the rate."""
        with self._lock:
            self._refill()
            self._tokens = min(self._tokens, 0.0)
