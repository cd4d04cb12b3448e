"""Limits the rate at which one controller writes acceptances to what the level and the key-value store allow.

The rate follows additive increase, multiplicative decrease: a refused write halves it, a successful one
raises it by `INCREASE`. During a flood of submissions that no level limits yet, this keeps the controllers
from filling the key-value store's request rate with writes that it refuses, at the expense of the task log,
the leases and the level itself.
"""

from collections.abc import Callable

from bayford.coordination.token_bucket import TokenBucket

DECREASE = 0.5  # factor applied to the rate after a refusal
DECREASE_PAUSE_S = 0.25  # refusals within this time after a decrease were caused by the rate before it
INCREASE = 0.25  # acceptances per second, added for each acceptance that was written
MIN_RATE = 0.5  # acceptances per second
MIN_BURST = 2.0  # acceptances
URGENT_RESERVE = 0.5  # share of the burst that is reserved for urgent jobs


class AcceptanceRateLimiter:
    """A token bucket whose rate adapts to refusals by the key-value store. Callers must hold a lock."""

    def __init__(self, max_rate: float, clock: Callable[[], float]) -> None:
        """`max_rate`: the maximum and initial rate, in acceptances per second."""
        self._max_rate = max_rate
        self._clock = clock
        self._rate = max_rate
        self._decreased_at = clock() - DECREASE_PAUSE_S
        self._bucket = TokenBucket(max_rate, max(MIN_BURST, max_rate), clock)

    def take(self, urgent: bool, level_rate: float | None) -> bool:
        """Take a token for one acceptance. Returns False, and takes none, if it may not be written now.

        `level_rate`: acceptances per second that the level allows this controller, None if it sets no limit.
        """
        rate = self._rate if level_rate is None else min(self._rate, level_rate)
        self._bucket.rate = rate
        self._bucket.burst = max(MIN_BURST, rate)
        reserve = 0.0 if urgent else self._bucket.burst * URGENT_RESERVE
        if self._bucket.available() < 1.0 + reserve:
            return False
        self._bucket.take(1.0)
        return True

    def on_written(self) -> None:
        """Raise the rate after the key-value store has executed the transaction of an acceptance."""
        self._rate = min(self._max_rate, self._rate + INCREASE)

    def on_refused(self) -> None:
        """Lower the rate after the key-value store has refused the transaction of an acceptance."""
        now = self._clock()
        if now - self._decreased_at >= DECREASE_PAUSE_S:
            self._decreased_at = now
            self._rate = max(MIN_RATE, self._rate * DECREASE)
