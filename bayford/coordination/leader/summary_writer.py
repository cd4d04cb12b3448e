"""Writes a summary of the machines' load and images, for the leader after this one."""

from collections.abc import Callable

from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.store_limits import StoreLimits
from bayford.coordination.store_writer import write_each
from bayford.coordination.token_bucket import TokenBucket
from bayford.storage import load_summary
from bayford.storage.key_value_store import KeyValueStore, Put

VALUE_GAP_S = 0.7  # between two values of one summary
MIN_PERIOD_S = 1.0


class SummaryWriter:
    """Run by one thread. Not conditional on the leadership record: a summary decides nothing."""

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
        """`writes`: the leader's rate of changes."""
        self._member = member
        self._scheduler = scheduler
        self._is_verified_leader = is_verified_leader
        self._store = store
        self._limits = limits
        self._writes = writes
        self._wall = wall
        self._key_count = 0  # keys that the last summary takes
        self._pending: list[Put] = []  # values of the newest summary that have still to be written

    def step(self) -> float:
        """Write the next value of the summary.

        One value at a time, and a refused one is not written again: all values at once, retried again and
        again on credit, once took the whole rate of writes, and no placement was committed for a minute
        (docs/incidents/2026-12-summary-starves-commits.md).
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
