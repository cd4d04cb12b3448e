"""Makes this controller lead or follow according to the leadership record.

One thread runs `step`: it renews the membership lease, fails over when there is no leader, transfers
leadership when workers can reach only another controller, and recovers the state when this controller has
become the leader.
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
# Delay from the start of the process, and between two attempts, before taking over from a leader of an older
# release.
REPLACEMENT_DELAY_S = 4.0
SUMMARY_MAX_AGE_S = 180.0  # an older load summary does not describe the current state of the machines
VERIFY_PERIOD_S = 2.0  # the longest interval between verifications while no starts wait for one
VERIFY_POLL_S = 0.25  # the longest wait for a verification request


class LeadershipManager:
    """Owns the transitions between leader and follower. Only the membership thread calls `step` and recovers
    the state; other threads may call `follow_record` and `verify_once`."""

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
        """`store`: the key-value store that the layout of the task log is written to."""
        self._worker_settings = settings.facts.workers
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
        self._replacement_attempted_at = self._started_at
        self._transfer_attempted_at = self._started_at
        # Set, and replaced by a new event, each time this controller has recovered the state as leader.
        self.recovered = threading.Event()

    # -- the membership thread -------------------------------------------------------------------------

    def step(self) -> float:
        """Renew the lease, fail over, take over or transfer leadership when due, and follow the leadership
        record. Returns the seconds until the next step."""
        self._membership.step()
        self._replace_leader_of_older_release()
        self.follow_record(recover=True)
        self._transfer_leadership()
        self._record_layout()
        return STEP_PERIOD_S

    def _replace_leader_of_older_release(self) -> None:
        """During an upgrade, take over from a leader of an older release before it is killed.

        This avoids waiting for its lease to expire, and a second failover. It is done only while all live
        controllers and the state service are reachable.
        """
        now = self._clock()
        if (
            now - self._started_at >= REPLACEMENT_DELAY_S
            and now - self._replacement_attempted_at >= REPLACEMENT_DELAY_S
            and self._connectivity.is_store_reachable()
            and not self._peers.unreachable & set(self._membership.live_members())
            and self._membership.should_replace_older_leader()
        ):
            self._replacement_attempted_at = now
            log.info("replacing leader of older release: leader=%s", self._membership.record.leader)
            self._watch_cache.pull(0.0)
            self._membership.acquire_leadership(self._membership.name)

    def _transfer_leadership(self) -> None:
        """Transfer leadership to a controller that receives the workers' heartbeats if this one receives few.

        The transfer is an ordinary change of the leadership record: a controller that reads it later than
        others, or still answers with the old fencing token, is treated like any deposed leader. No transfer
        happens before this controller has been the leader for the duration of a worker's lease: by then the
        workers that could not reach the previous leader have found a controller that answers.
        """
        now = self._clock()
        if (
            not self._scheduler.leader
            or now - self._scheduler.leader_since < self._worker_settings.lease_s
            or now - self._transfer_attempted_at < transfer.RETRY_S
            or not self._verifier.is_verified_leader()
        ):
            return
        window_s = transfer.contact_window_s(self._worker_settings.heartbeat_interval_s)
        contact = self._scheduler.worker_contact(now - window_s)
        candidates = (
            set(self._membership.live_members())
            - self._peers.peers_of_older_release()
            - {self._membership.name}
        )
        successor = transfer.choose_successor(contact, candidates)
        if successor is None:
            return
        self._transfer_attempted_at = now
        log.info(
            "transferring leadership: successor=%s machines_relayed=%d machines_direct=%d",
            successor,
            contact.relayed[successor],
            contact.direct,
        )
        self._membership.acquire_leadership(successor)
        self.follow_record()

    def _record_layout(self) -> None:
        """As the leader, store the value size in bytes that the task log is laid out for, unless it is stored
        already. It never changes: settings with other limits must not change how the log is read."""
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
        """Step down if this process is not the leader of the term that the scheduler acts in; with `recover`,
        recover the state if the leadership record names this process.

        Only the membership thread recovers: of two concurrent recoveries, one could overwrite decisions that
        the scheduler made after the other with records that were read earlier.
        """
        record = self._membership.record
        is_leader = self._membership.is_record_of_this_process(record) and not self._membership.is_superseded
        if self._scheduler.leader and not (is_leader and self._scheduler.term == record.version):
            self._scheduler.step_down()
        if recover and is_leader and not self._scheduler.leader:
            self._recover(record)

    def _recover(self, record: LeadershipRecord) -> None:
        """Rebuild the leader's state from the watch cache."""
        # After this read the watch cache contains every write that was conditional on an older leadership
        # record: the new record was written after all of them, and no such write can be applied after it.
        self._watch_cache.pull(0.0)
        if self._membership.record.version != record.version:
            return
        read_revision = self._watch_cache.revision
        self._scheduler.recover(self._read_state(record))
        recovered, self.recovered = self.recovered, threading.Event()
        recovered.set()
        # Rows that arrived while the records were being read were not passed to the scheduler, which was not
        # the leader yet: pass them on now. A row that the scheduler already knows changes nothing.
        for row in self._watch_cache.job_rows_since(read_revision):
            self._dispatcher.reconcile_job(row)
        for row in self._watch_cache.rows_with_prefix(records.RELAYS):
            self._dispatcher.on_rows([row])
        self._signals.round.set()

    def _read_state(self, record: LeadershipRecord) -> RecoveredState:
        """Returns the state to recover from, read from the watch cache."""
        cache = self._watch_cache
        summaries = cache.rows_with_prefix(records.SUMMARIES)
        # Taken before the jobs are read, so that the jobs may be newer than `as_of` but never older.
        as_of = cache.as_of
        return RecoveredState(
            term=record.version,
            fencing_token=record.fencing_token,
            as_of=as_of,
            summarized_images=load_summary.newest_images(summaries, self._wall() - SUMMARY_MAX_AGE_S),
            next_attempt=cache.with_task_log(lambda task_log: task_log.next_attempt),
            migration_counts=self._read_values(records.MIGRATION_COUNTS),
            zone_records=self._read_values(records.ZONES),
            jobs=cache.open_jobs(),
        )

    def _read_values(self, prefix: str) -> Mapping[str, Any]:
        """Returns the values of the keys with `prefix`, by the rest of the key."""
        return {row.key[len(prefix) :]: row.value for row in self._watch_cache.rows_with_prefix(prefix)}

    # -- the verification thread -----------------------------------------------------------------------

    def verify_step(self) -> float:
        """Wait up to `VERIFY_POLL_S` for a verification request, then verify if one is requested or due."""
        self._signals.verify.wait(VERIFY_POLL_S)
        self.verify_once()
        return 0.0

    def verify_once(self) -> None:
        """Read the store if a verification was requested or the last one is too old.

        The read proves that this controller is still the leader and allows tasks to be started. It must be a
        read, not a comparison of the leadership record's version: a comparison would succeed although this
        controller does not know cancellations that other controllers have confirmed, and the cancelled tasks
        would be started or kept alive.
        """
        if not self._scheduler.leader:
            self._signals.verify.clear()
            return
        # Checked before the read: this call detects a stall that has just ended. Detected after the read, the
        # stall would invalidate this verification.
        resumed_at = self._stall_detector.resumed_at()
        verified_at = self._scheduler.verified_at
        period_s = min(VERIFY_PERIOD_S, 0.25 * self._scheduler.staleness_limit())
        is_recent = self._clock() - verified_at < period_s and verified_at >= resumed_at
        if is_recent and not self._signals.verify.is_set():
            return
        self._signals.verify.clear()
        self._watch_cache.refresh(VERIFICATION_WAIT_S)
        self.follow_record()
