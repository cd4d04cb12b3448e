"""Writes the leader's decisions to the key-value store in batches (the group commit).

`group_commit` builds the batches; this module writes them within the write rate limit.
"""

import logging
from collections.abc import Callable

from bayford.coordination.leader.commit_batch import CommitBatch
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.row_dispatcher import RowDispatcher
from bayford.coordination.signals import Signals
from bayford.coordination.store_limits import StoreLimits
from bayford.coordination.token_bucket import TokenBucket
from bayford.storage import records
from bayford.storage.key_value_store import KeyValueStore, Outcome, Row, TooLargeError, UnavailableError
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger(__name__)

TASK_LOG_SHARE = 0.7  # share of the write rate; the rest is left for submissions at the other controllers
MAX_AWAITED_COMPLETIONS = 3  # a batch waits for tokens for at most this many records of completed jobs
MIN_GAP_S = 0.05  # delay after a transaction, so that the next one carries more changes
POLL_S = 0.25  # maximum wait for the commit signal


class CommitLoop:
    """The only writer of the task log. `step` must run in a single thread. The token bucket `writes` is
    shared with the leader's other writers, so that together they stay within the write rate."""

    def __init__(
        self,
        scheduler: Scheduler,
        store: KeyValueStore,
        watch_cache: WatchCache,
        limits: StoreLimits,
        dispatcher: RowDispatcher,
        follow_record: Callable[[], None],
        signals: Signals,
        clock: Callable[[], float],
    ) -> None:
        """`follow_record`: called when a transaction fails because the leadership record has changed."""
        self._scheduler = scheduler
        self.store = store
        self._watch_cache = watch_cache
        self._limits = limits
        self._dispatcher = dispatcher
        self._follow_record = follow_record
        self._signals = signals
        # One change carries the decisions of about a tenth of a second.
        self.rate_rps = limits.write_rps * TASK_LOG_SHARE  # changes per second; admission may lower it
        self.writes = TokenBucket(self.rate_rps, max(float(limits.txn_ops), self.rate_rps), clock)

    def step(self) -> float:
        """Wait for the commit signal and write pending changes within the write rate, the most urgent first.
        Return the seconds to wait before the next call."""
        self._signals.commit.wait(POLL_S)
        self._signals.commit.clear()
        return self.commit_once() if self._scheduler.leader else 0.0

    def commit_once(self) -> float:
        """Write one transaction if changes are pending. Return the seconds to wait before the next one."""
        max_ops = self._limits.txn_ops
        # Wait for tokens for one row and a few records of completed jobs. These must not wait until the
        # bucket holds a full burst.
        min_ops = min(max_ops, 1 + min(MAX_AWAITED_COMPLETIONS, self._scheduler.pending_completion_count()))
        if self._scheduler.has_pending_writes() and self.writes.available() < min_ops:
            self._signals.commit.set()
            return self.writes.wait_s(min_ops)
        batch = self._scheduler.take_batch(min(max_ops, int(self.writes.available())))
        if batch is None:
            return 0.0
        self.writes.take(len(batch.puts))
        self.write(batch)
        if self._scheduler.has_pending_writes():
            self._signals.commit.set()
        return max(MIN_GAP_S, self.writes.wait_s(1.0))

    def write(self, batch: CommitBatch) -> None:
        """Write one batch and report the outcome to the scheduler."""
        try:
            outcome = self.store.compare_and_swap(batch.conditions, batch.puts)
        except TooLargeError:
            # Lower the limits: the same batch would be refused on every retry, and nothing more would be
            # written.
            self._scheduler.on_not_committed(batch)
            self._limits.lower_limits(
                len(batch.puts), max(records.encoded_size(put.value) for put in batch.puts)
            )
            return
        except UnavailableError as error:
            self._scheduler.on_not_committed(batch)
            self.writes.drain()
            log.debug("commit refused: error=%s", error)
            return
        except Exception as error:  # noqa: BLE001 - see below
            # The transaction may have been applied in spite of the error, so its changes are written again.
            self._scheduler.on_not_committed(batch)
            log.info("commit outcome unknown: error=%r", error)
            return
        if outcome.applied:
            self._on_applied(batch, outcome)
        else:
            self._on_conflict(batch, outcome)

    def _on_applied(self, batch: CommitBatch, outcome: Outcome) -> None:
        # Update the watch cache first: a query served from it must not lag behind decisions that are already
        # acted on.
        rows = [Row(put.key, put.value, outcome.revision) for put in batch.puts]
        self._watch_cache.apply(rows, notify=False)
        self._scheduler.on_committed(batch)
        if batch.placements:
            self._signals.verify.set()  # workers request the starts next; these need a verified leader

    def _on_conflict(self, batch: CommitBatch, outcome: Outcome) -> None:
        self._scheduler.on_not_committed(batch)
        self._watch_cache.pull(0.0)
        if records.LEADERSHIP in outcome.failed:
            log.info("leadership lost, leadership record changed: term=%d", batch.term)
            self._follow_record()
        for key in outcome.failed:
            row = self._watch_cache.get(key)
            if row is not None and key.startswith(records.JOBS):
                self._dispatcher.reconcile_job(row)  # even if the watch cache already had this version
