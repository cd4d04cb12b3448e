"""Writes a summary of the machines' load and images, for use by the next leader."""

from collections.abc import Callable

from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.store_limits import StoreLimits
from bayford.coordination.store_writer import write_each
from bayford.coordination.token_bucket import TokenBucket
from bayford.storage import load_summary
from bayford.storage.key_value_store import KeyValueStore, Put

VALUE_GAP_S = 0.7  # between two values of one summary
MIN_PERIOD_S = 1.0  # minimum time between two summaries


class SummaryWriter:
    """Writes the summary periodically. `step` must be called by a single thread.

    The writes are not conditional on the leadership record, because no decision relies on a summary for its
    safety.
    """

    def __init__(
        self,
        member: str,
        scheduler: Scheduler,
        is_verified_leader: Callable[[], bool],
        store: KeyValueStore,
        limits: StoreLimits,
        writes: TokenBucket,
        wall: Callable[[], float],
    ) -> None:
        """`writes`: the token bucket of the leader's writes."""
        self._member = member
        self._scheduler = scheduler
        self._is_verified_leader = is_verified_leader
        self._store = store
        self._limits = limits
        self._writes = writes
        self._wall = wall
        self._key_count = 0  # number of keys of the last summary
        self._pending: list[Put] = []  # values of the latest summary not yet written

    def step(self) -> float:
        """Write the next value of the summary. Return the seconds to wait before the next call.

        Values are written one at a time, and a refused value is not retried. Writing all values at once, with
        repeated retries that overdrew the token bucket, once consumed the whole write rate, and no placement
        was committed for a minute (docs/incidents/2026-12-summary-starves-commits.md).
        """
        if not self._pending:
            self._begin_summary()
        if self._pending:
            put = self._pending.pop(0)
            self._writes.take(1)
            write_each(self._store, self._limits, [put])
            if self._pending:
                return VALUE_GAP_S
        return max(MIN_PERIOD_S, self._scheduler.policy.summary_every_s)

    def _begin_summary(self) -> None:
        machines = self._scheduler.summary()
        if not machines or not self._is_verified_leader():
            return
        value_bytes = self._limits.value_bytes
        self._pending = load_summary.encode(
            self._member, self._wall(), machines, value_bytes, self._key_count
        )
        self._key_count = sum(put.value is not None for put in self._pending)
