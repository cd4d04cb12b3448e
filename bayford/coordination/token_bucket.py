"""A token bucket for the request rates of the state service and the cloud, which all controllers share."""

import threading
import time
from collections.abc import Callable


class TokenBucket:
    """Tokens accumulate at `rate` per second, up to `burst`. May be used by any thread."""

    def __init__(self, rate: float, burst: float, clock: Callable[[], float] = time.monotonic) -> None:
        self.rate = rate
        self.burst = burst
        self._clock = clock
        self._lock = threading.Lock()  # guards the number of tokens and the time of the last refill
        self._tokens = burst
        self._refilled_at = clock()

    def _refill(self) -> None:
        now = self._clock()
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def available(self) -> float:
        """Returns the number of available tokens, below 0 while in debt."""
        with self._lock:
            self._refill()
            return self._tokens

    def wait_s(self, count: float) -> float:
        """Returns the seconds until `count` tokens are available."""
        with self._lock:
            self._refill()
            return max(0.0, (count - self._tokens) / self.rate)

    def take(self, count: float) -> None:
        """Take `count` tokens for a request that is being sent, going into debt if there are too few."""
        with self._lock:
            self._refill()
            self._tokens -= count

    def drain(self) -> None:
        """Discard the available tokens, after the service has answered 429: others have used the rate."""
        with self._lock:
            self._refill()
            self._tokens = min(self._tokens, 0.0)
