"""How fast one controller writes acceptances: as the level allows it, and as the state service accepts them.

Additive increase, multiplicative decrease: a refused acceptance halves the rate, a written one raises it a
little. So a flood that no level limits yet does not fill the state service with requests that it refuses, and
that would crowd out the task log, the leases and the level itself.
"""

from collections.abc import Callable

from bayford.coordination.token_bucket import TokenBucket

DECREASE = 0.5  # factor of the rate after a refusal
DECREASE_PAUSE_S = 0.25  # refusals so close to the last decrease come from the rate before it
INCREASE = 0.25  # acceptances a second, for each that was written
MIN_RATE = 0.5  # acceptances a second
MIN_BURST = 2.0  # acceptances
URGENT_RESERVE = 0.5  # of the burst, kept for urgent jobs


class AcceptanceRateLimiter:
    """A token bucket whose rate follows the answers of the state service. The caller locks."""

    def __init__(self, max_rate: float, clock: Callable[[], float]) -> None:
        """`max_rate`: acceptances a second at the most, and to begin with."""
        self._max_rate = max_rate
        self._clock = clock
        self._rate = max_rate
        self._decreased_at = clock() - DECREASE_PAUSE_S
        self._bucket = TokenBucket(max_rate, max(MIN_BURST, max_rate), clock)

    def take(self, urgent: bool, level_rate: float | None) -> bool:
        """Whether one more acceptance may be written now; it is counted if so.

        `level_rate`: acceptances a second that the level allows this controller, None for any number.
        """
        rate = self._rate if level_rate is None else min(self._rate, level_rate)
        self._bucket.rate = rate
        self._bucket.burst = max(MIN_BURST, rate)
        reserve = 0.0 if urgent else self._bucket.burst * URGENT_RESERVE
        if self._bucket.available() < 1.0 + reserve:
            return False
        self._bucket.take(1.0)
        return True

    def written(self) -> None:
        """The state service has written an acceptance."""
        self._rate = min(self._max_rate, self._rate + INCREASE)

    def refused(self) -> None:
        """The state service has refused an acceptance."""
        now = self._clock()
        if now - self._decreased_at >= DECREASE_PAUSE_S:
            self._decreased_at = now
            self._rate = max(MIN_RATE, self._rate * DECREASE)
