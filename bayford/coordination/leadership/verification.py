"""Decides whether this controller may act as the leader on its current view of the store."""

import threading
from collections.abc import Callable

from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leadership.connectivity import Connectivity
from bayford.coordination.leadership.membership import Membership
from bayford.coordination.leadership.peers import Peers
from bayford.coordination.leadership.stall_detector import StallDetector
from bayford.coordination.signals import Signals
from bayford.storage import records
from bayford.storage.watch_cache import WatchCache

VERIFICATION_WAIT_S = 1.0  # time-out of waiting for a verification, and of the verification's read
WAKE_PERIOD_S = 0.3  # a waiting thread checks again after this time, in case it has missed the event

Pause = Callable[[threading.Event, float], object]  # waits for an event, at most for the given seconds


class LeadershipVerifier:
    """Verifies leadership by reads of the leadership record. May be called by any thread."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        membership: Membership,
        connectivity: Connectivity,
        peers: Peers,
        watch_cache: WatchCache,
        stall_detector: StallDetector,
        signals: Signals,
        clock: Callable[[], float],
        pause: Pause,
    ) -> None:
        self._scheduler = scheduler
        self._membership = membership
        self._connectivity = connectivity
        self._peers = peers
        self._watch_cache = watch_cache
        self._stall_detector = stall_detector
        self._signals = signals
        self._clock = clock
        self._pause = pause

    def is_verified_leader(self) -> bool:
        """Whether this controller may act as the leader on its current view.

        The view must have been verified within the staleness limit and after the last stall of this process.
        A controller that resumes after a stall of a minute has had no heartbeat from any machine for a
        minute, and only a leader with a fresh view may conclude from that that machines are lost. A
        controller that did so without a fresh view deleted the whole fleet.
        """
        verified_at = self._scheduler.verified_at
        return (
            self._scheduler.leader
            and not self._membership.is_superseded
            and verified_at >= self._stall_detector.resumed_at()
            and self._clock() - verified_at <= self._scheduler.staleness_limit()
        )

    def await_verified_leader(self) -> bool:
        """Like `is_verified_leader`, but waits for a new verification if the last one precedes a stall."""
        deadline = self._clock() + VERIFICATION_WAIT_S
        while not self.is_verified_leader():
            age_s = self._clock() - self._scheduler.verified_at
            is_too_old = age_s > self._scheduler.staleness_limit()
            if is_too_old or self._membership.is_superseded or self._clock() >= deadline:
                return False
            # All waiting threads share one event: after a stall the heartbeats of the whole fleet wait here.
            self._signals.verified.clear()
            self._signals.verify.set()
            self._pause(self._signals.verified, WAKE_PERIOD_S)
        return True

    def on_read(self) -> bool:
        """Called after a read of the store has been applied. Returns whether the read verifies leadership.

        It does if it contains the leadership record that made this controller the leader. It then also
        contains all cancellations that were confirmed before the read was sent.
        """
        as_of, term = self._watch_cache.as_of, self._scheduler.term
        row = self._watch_cache.get(records.LEADERSHIP)
        if not self._scheduler.leader or row is None or row.version != term:
            return False
        self._scheduler.record_verification(as_of, term)
        self._signals.verified.set()
        return True

    def has_no_competing_leader(self) -> bool:
        """Whether no other controller can have a newer view, although this leader's view may be too old.

        This holds if the state service is unavailable to every reachable controller and no higher fencing
        token has been seen. Machines with overdue cancelled tasks are then deleted without verification: the
        deadline by which a cancelled task must have ended does not wait for the service to return. Deleting a
        machine is safe whichever controller does it; at worst it loses work that another leader placed there.
        """
        return (
            self._scheduler.leader
            and self._membership.record.version == self._scheduler.term
            and not self._membership.is_superseded
            and not self._connectivity.is_isolated()
            and not self._connectivity.is_store_reachable()
            and not self._peers.served_peers()
        )
