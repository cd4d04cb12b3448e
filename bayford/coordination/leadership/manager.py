"""Keeps this controller's role in line with the leadership record.

One thread runs `step`: it renews the membership lease, fails over when there is no leader, transfers
leadership when workers reach another controller only, and recovers the state when this controller has become
leader.
"""

import logging
import threading
from collections.abc import Callable, Mapping
from typing import Any

from bayford.config import Settings
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leadership import transfer
from bayford.coordination.leadership.connectivity import Connectivity
from bayford.coordination.leadership.membership import LeadershipRecord, Membership
from bayford.coordination.leadership.peers import Peers
from bayford.coordination.leadership.stall_detector import StallDetector
from bayford.coordination.leadership.verification import VERIFICATION_WAIT_S, LeadershipVerifier
from bayford.coordination.row_dispatcher import RowDispatcher
from bayford.coordination.signals import Signals
from bayford.storage import load_summary, records
from bayford.storage.key_value_store import KeyValueStore, Put, Row
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger(__name__)

STEP_PERIOD_S = 0.15
SETTLED_S = 4.0  # after its start, or an attempt, before a controller takes over from an older release
SUMMARY_MAX_AGE_S = 180.0  # an older load summary says nothing about the machines as they are now
VERIFY_PERIOD_S = 2.0  # how old the leader lets its last read become while nothing is to be started
VERIFY_POLL_S = 0.25


class LeadershipManager:
    """Owns the transitions between leader and follower. `step` and recovery belong to one thread;
    `follow_record` and `verify_once` may be called by others, too."""

    def __init__(
        self,
        *,
        settings: Settings,
        scheduler: Scheduler,
        membership: Membership,
        peers: Peers,
        connectivity: Connectivity,
        verifier: LeadershipVerifier,
        stall_detector: StallDetector,
        dispatcher: RowDispatcher,
        store: KeyValueStore,
        watch_cache: WatchCache,
        signals: Signals,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        """`store`: what the layout of the task log is written to."""
        self._worker_times = settings.facts.workers
        self._scheduler = scheduler
        self._membership = membership
        self._peers = peers
        self._connectivity = connectivity
        self._verifier = verifier
        self._stall_detector = stall_detector
        self._dispatcher = dispatcher
        self._store = store
        self._watch_cache = watch_cache
        self._signals = signals
        self._clock = clock
        self._wall = wall
        self._started_at = clock()
        self._replacement_tried_at = self._started_at
        self._transfer_tried_at = self._started_at
        # Set, and replaced by a new one, whenever this controller has recovered as leader.
        self.recovered = threading.Event()

    # -- the membership thread -------------------------------------------------------------------------

    def step(self) -> float:
        """Renew the lease, follow the leadership record, and change it where that is due."""
        self._membership.step()
        self._replace_leader_of_older_release()
        self.follow_record(recover=True)
        self._transfer_leadership()
        self._record_layout()
        return STEP_PERIOD_S

    def _replace_leader_of_older_release(self) -> None:
        """In an upgrade, take over from a leader of an older release before it is killed.

        No lease has to run out for that, and no second failover is needed. Only while nothing else is amiss:
        all live controllers and the state service are in reach.
        """
        now = self._clock()
        if (
            now - self._started_at >= SETTLED_S
            and now - self._replacement_tried_at >= SETTLED_S
            and self._connectivity.store_reachable()
            and not self._peers.unreachable & set(self._membership.live_members())
            and self._membership.should_replace_older_leader()
        ):
            self._replacement_tried_at = now
            log.info("replacing leader of older release: leader=%s", self._membership.record.leader)
            self._watch_cache.pull(0.0)
            self._membership.acquire_leadership(self._membership.name)

    def _transfer_leadership(self) -> None:
        """Give leadership to a controller that receives the workers' heartbeats, if this one gets hardly any.

        An ordinary change of the leadership record: whoever reads it later than others, or answers with the
        old fencing token, is treated like any deposed leader. Not before this leader has led for a worker's
        lease: by then the workers that could not reach the leader before it have found their way.
        """
        now = self._clock()
        if (
            not self._scheduler.leader
            or now - self._scheduler.leader_since < self._worker_times.lease_s
            or now - self._transfer_tried_at < transfer.RETRY_S
            or not self._verifier.is_verified_leader()
        ):
            return
        window_s = transfer.contact_window(self._worker_times.heartbeat_interval_s)
        contact = self._scheduler.worker_contact(now - window_s)
        candidates = set(self._membership.live_members()) - self._peers.older() - {self._membership.name}
        successor = transfer.successor(contact, candidates)
        if successor is None:
            return
        self._transfer_tried_at = now
        log.info(
            "transferring leadership: to=%s machines_heard_there=%d machines_heard_here=%d",
            successor,
            contact.relayed[successor],
            contact.direct,
        )
        self._membership.acquire_leadership(successor)
        self.follow_record()

    def _record_layout(self) -> None:
        """Write down, once and for all, the size of a value that the task log is laid out for: settings with
        limits to come must not change how it is read."""
        term = self._scheduler.term
        if not self._scheduler.leader or self._watch_cache.get(records.LAYOUT) is not None:
            return
        value = {"value_bytes": self._scheduler.limits.layout_bytes}
        conditions = {records.LEADERSHIP: term, records.LAYOUT: 0}
        outcome = self._store.compare_and_swap(conditions, [Put(records.LAYOUT, value)])
        if outcome.applied:
            self._watch_cache.apply([Row(records.LAYOUT, value, outcome.revision)])

    # -- following the leadership record ---------------------------------------------------------------

    def follow_record(self, recover: bool = False) -> None:
        """Step down if the leadership record names another process; with `recover`, begin to lead if it names
        this one.

        Only the membership thread recovers. Of two recoveries at a time one could replace, by records read
        earlier, what the scheduler has decided since the other.
        """
        record = self._membership.record
        leads = self._membership.is_record_of_this_process(record) and not self._membership.superseded
        if self._scheduler.leader and not (leads and self._scheduler.term == record.version):
            self._scheduler.step_down()
        if recover and leads and not self._scheduler.leader:
            self._recover(record)

    def _recover(self, record: LeadershipRecord) -> None:
        """Rebuild the leader's state from what the watch cache holds."""
        # Every write that an older leadership record allowed is in the watch cache after this read: the new
        # record was written later than all of them, and none can come after it.
        self._watch_cache.pull(0.0)
        if self._membership.record.version != record.version:
            return
        read_at = self._watch_cache.revision
        self._scheduler.recover(self._read_state(record))
        recovered, self.recovered = self.recovered, threading.Event()
        recovered.set()
        # Rows that came in while the records were being read were passed to no leader: pass them on now. A
        # row that the scheduler knows already changes nothing.
        for row in self._watch_cache.jobs_since(read_at):
            self._dispatcher.reconcile_job(row)
        for row in self._watch_cache.rows_below(records.RELAYS):
            self._dispatcher.on_rows([row])
        self._signals.round.set()

    def _read_state(self, record: LeadershipRecord) -> RecoveredState:
        cache = self._watch_cache
        summaries = cache.rows_below(records.SUMMARIES)
        # The age of the read is taken before the jobs are read: they may be newer, never older than it.
        as_of = cache.as_of
        return RecoveredState(
            term=record.version,
            fencing_token=record.fencing_token,
            as_of=as_of,
            summarized_images=load_summary.newest(summaries, self._wall() - SUMMARY_MAX_AGE_S),
            next_attempt=cache.with_task_log(lambda task_log: task_log.next_attempt),
            migration_counts=self._values_below(records.MIGRATION_COUNTS),
            zone_records=self._values_below(records.ZONES),
            jobs=cache.open_jobs(),
        )

    def _values_below(self, prefix: str) -> Mapping[str, Any]:
        return {row.key[len(prefix) :]: row.value for row in self._watch_cache.rows_below(prefix)}

    # -- the verification thread -----------------------------------------------------------------------

    def verify_step(self) -> float:
        """Wait until a verification is asked for or due."""
        self._signals.verify.wait(VERIFY_POLL_S)
        self.verify_once()
        return 0.0

    def verify_once(self) -> None:
        """Read the store if starts wait for that, or if the last read is getting old.

        The read opens the gate of starts and proves that this controller still leads. It must be a read, not
        a comparison of the leadership record: a comparison would pass while cancellations which other
        controllers have confirmed are not known here, and their tasks would be started, or kept alive.
        """
        if not self._scheduler.leader:
            self._signals.verify.clear()
            return
        # Looked at before the read, or this verification would not count after it.
        resumed_at = self._stall_detector.resumed_at()
        verified_at = self._scheduler.verified_at
        period_s = min(VERIFY_PERIOD_S, 0.25 * self._scheduler.staleness_limit())
        recent = self._clock() - verified_at < period_s and verified_at >= resumed_at
        if recent and not self._signals.verify.is_set():
            return
        self._signals.verify.clear()
        self._watch_cache.refresh(VERIFICATION_WAIT_S)
        self.follow_record()
