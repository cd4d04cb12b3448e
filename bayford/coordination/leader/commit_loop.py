"""Writes the leader's decisions to the key-value store, batch by batch (the group commit).

What a batch holds is decided in `group_commit`; this module carries it out within the rate of writes.
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

TASK_LOG_SHARE = 0.7  # of the changes a second; the rest is left to the other controllers' submissions
MAX_AWAITED_COMPLETIONS = 3  # records of complete jobs that a batch waits for the rate to allow
MIN_GAP_S = 0.05  # between two transactions, so that the next one carries more
POLL_S = 0.25


class CommitLoop:
    """The only writer of the task log. `step` runs in one thread; `writes` is shared with the leader's other
    writers, so that all of them together keep to the rate."""

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
        """`follow_record`: called when a transaction shows that the leadership record has changed."""
        self._scheduler = scheduler
        self.store = store
        self._watch_cache = watch_cache
        self._limits = limits
        self._dispatcher = dispatcher
        self._follow_record = follow_record
        self._signals = signals
        # One change carries what has happened in a tenth of a second.
        self.rate_rps = limits.write_rps * TASK_LOG_SHARE  # changes a second, unless admission lowers it
        self.writes = TokenBucket(self.rate_rps, max(float(limits.txn_ops), self.rate_rps), clock)

    def step(self) -> float:
        """Write what has changed, the most urgent first, within the rate of writes."""
        self._signals.commit.wait(POLL_S)
        self._signals.commit.clear()
        return self.commit_once() if self._scheduler.leader else 0.0

    def commit_once(self) -> float:
        """Write one transaction, if there is anything to write; seconds to wait before the next one."""
        max_ops = self._limits.txn_ops
        # A row, and a record of each job that is complete: these must not wait until a burst is saved up.
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
        """Write one batch and tell the scheduler what became of it."""
        try:
            outcome = self.store.compare_and_swap(batch.conditions, batch.puts)
        except TooLargeError:
            # The same batch would be refused again, and nothing would ever be written: the limits shrink.
            self._scheduler.not_committed(batch)
            self._limits.too_large(len(batch.puts), max(records.size(put.value) for put in batch.puts))
            return
        except UnavailableError as error:
            self._scheduler.not_committed(batch)
            self.writes.drain()
            log.debug("commit refused: error=%s", error)
            return
        except Exception as error:  # noqa: BLE001 - see below
            # Whatever went wrong, the transaction may have been applied: its content is written once more.
            self._scheduler.not_committed(batch)
            log.info("commit outcome unknown: error=%r", error)
            return
        if outcome.applied:
            self._on_applied(batch, outcome)
        else:
            self._on_conflict(batch, outcome)

    def _on_applied(self, batch: CommitBatch, outcome: Outcome) -> None:
        # Into the watch cache first: a query answered from there must not lag behind what is acted upon.
        rows = [Row(put.key, put.value, outcome.revision) for put in batch.puts]
        self._watch_cache.apply(rows, notify=False)
        self._scheduler.committed(batch)
        if batch.placements:
            self._signals.verify.set()  # the starts of these are about to be asked for

    def _on_conflict(self, batch: CommitBatch, outcome: Outcome) -> None:
        self._scheduler.not_committed(batch)
        self._watch_cache.pull(0.0)
        if records.LEADERSHIP in outcome.failed:
            log.info("leadership lost: the leadership record has changed, term=%d", batch.term)
            self._follow_record()
        for key in outcome.failed:
            row = self._watch_cache.get(key)
            if row is not None and key.startswith(records.JOBS):
                self._dispatcher.reconcile_job(row)  # also if the watch cache has had it before
