"""How fast one controller writes acceptances: what the level allows it, and what the state service takes.

Additive increase, multiplicative decrease: a refused acceptance halves the rate, an accepted one raises it a
little. So a flood that no level holds back yet does not fill the state service with requests that it refuses,
among which the task log, the leases and the level itself would be lost.
"""

from collections.abc import Callable

from bayford.coordination.token_bucket import TokenBucket

DECREASE = 0.5
DECREASE_PAUSE_S = 0.25  # refusals so close to the last decrease are of the same rate
INCREASE = 0.25  # acceptances a second, for each that was taken
LEAST_RATE = 0.5
LEAST_BURST = 2.0
URGENT_RESERVE = 0.5  # of the burst: what is not urgent leaves it alone


class AcceptanceRateLimiter:
    """A token bucket whose rate follows the answers of the state service."""

    def __init__(self, most: float, clock: Callable[[], float]) -> None:
        """`most`: acceptances a second at the most, and to begin with."""
        self._most = most
        self._clock = clock
        self._rate = most
        self._decreased_at = clock() - DECREASE_PAUSE_S
        self._bucket = TokenBucket(most, max(LEAST_BURST, most), clock)

    def take(self, urgent: bool, allowed: float | None) -> bool:
        """Whether one more acceptance may be written now; `allowed`: the level's rate for this controller."""
        rate = self._rate if allowed is None else min(self._rate, allowed)
        self._bucket.rate = rate
        self._bucket.burst = max(LEAST_BURST, rate)
        reserve = 0.0 if urgent else self._bucket.burst * URGENT_RESERVE
        if self._bucket.available() < 1.0 + reserve:
            return False
        self._bucket.take(1.0)
        return True

    def written(self) -> None:
        """The state service has taken one."""
        self._rate = min(self._most, self._rate + INCREASE)

    def refused(self) -> None:
        """The state service has refused one."""
        now = self._clock()
        if now - self._decreased_at >= DECREASE_PAUSE_S:
            self._decreased_at = now
            self._rate = max(LEAST_RATE, self._rate * DECREASE)
