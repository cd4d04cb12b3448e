"""Whether this controller may act as the leader on what it knows."""

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

VERIFICATION_WAIT_S = 1.0  # how long a request waits for a verification, and a verification for its read
WAKE_PERIOD_S = 0.3  # how often a waiting thread looks again, should it have missed the event

Pause = Callable[[threading.Event, float], object]  # waits for an event, or for so many seconds


class LeadershipVerifier:
    """Decides from reads of the leadership record. Any thread may ask."""

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
        """Whether this controller may act as the leader on the view it has.

        The view must have been verified not too long ago, and since this process last stood still. A
        controller that goes on after a stall of a minute finds every machine silent for a minute, and only a
        leader with a fresh view may judge that. A controller that judged without one deleted the whole fleet.
        """
        verified_at = self._scheduler.verified_at
        return (
            self._scheduler.leader
            and not self._membership.superseded
            and verified_at >= self._stall_detector.resumed_at()
            and self._clock() - verified_at <= self._scheduler.staleness_limit()
        )

    def await_verified_leader(self) -> bool:
        """Like `is_verified_leader`, but waits for the verification that a stall calls for."""
        deadline = self._clock() + VERIFICATION_WAIT_S
        while not self.is_verified_leader():
            age_s = self._clock() - self._scheduler.verified_at
            too_old = age_s > self._scheduler.staleness_limit()
            if too_old or self._membership.superseded or self._clock() >= deadline:
                return False
            # One event for all: after a stall the heartbeats of the whole fleet wait here at once.
            self._signals.verified.clear()
            self._signals.verify.set()
            self._pause(self._signals.verified, WAKE_PERIOD_S)
        return True

    def on_read(self) -> bool:
        """A read has been taken in. Returns whether it verifies leadership: it shows the leadership record
        that made this controller leader, and all cancellations confirmed before it was sent."""
        as_of, term = self._watch_cache.as_of, self._scheduler.term
        row = self._watch_cache.get(records.LEADERSHIP)
        if not self._scheduler.leader or row is None or row.version != term:
            return False
        self._scheduler.verified(as_of, term)
        self._signals.verified.set()
        return True

    def no_competing_leader(self) -> bool:
        """Whether, although the view is too old to act upon, no other controller can have a better one.

        The state service is out for every controller in reach, and nobody has seen a higher fencing token.
        What a cancelled task may not outlive can't wait for the service to return. Deleting a machine breaks
        no rule whoever does it; at worst it costs the work of another leader.
        """
        return (
            self._scheduler.leader
            and self._membership.record.version == self._scheduler.term
            and not self._membership.superseded
            and not self._connectivity.is_isolated()
            and not self._connectivity.store_reachable()
            and not self._peers.served()
        )
