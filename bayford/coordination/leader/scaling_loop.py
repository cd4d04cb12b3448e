"""Passes the autoscaler's decisions to the cloud operations, and writes the zone records."""

from collections.abc import Callable

from bayford.coordination.leader.cloud_operations import CloudOperations
from bayford.coordination.leader.scaling_actions import ScalingActions
from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leadership.connectivity import Connectivity
from bayford.coordination.leadership.peers import Peers
from bayford.coordination.leadership.stall_detector import StallDetector
from bayford.coordination.leadership.verification import LeadershipVerifier
from bayford.coordination.token_bucket import TokenBucket
from bayford.recovery.zone_health import LeadershipFacts
from bayford.storage import records
from bayford.storage.key_value_store import KeyValueStore, OutcomeUnknownError, UnavailableError

STEP_PERIOD_S = 0.5


class ScalingLoop:
    """Runs scaling and zone monitoring periodically. All methods are called by one thread."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        cloud_operations: CloudOperations,
        verifier: LeadershipVerifier,
        connectivity: Connectivity,
        peers: Peers,
        stall_detector: StallDetector,
        store: KeyValueStore,
        writes: TokenBucket,
        clock: Callable[[], float],
    ) -> None:
        """`writes`: limits the leader's rate of changes to the store."""
        self._scheduler = scheduler
        self._cloud_operations = cloud_operations
        self._verifier = verifier
        self._connectivity = connectivity
        self._peers = peers
        self._stall_detector = stall_detector
        self._store = store
        self._writes = writes
        self._clock = clock
        self._accepting_since = clock()  # heartbeats have not been rejected since then

    def step(self) -> float:
        """Makes one round of decisions and queues the resulting launches and deletions.

        Returns the seconds to wait until the next call.
        """
        if self._scheduler.leader:
            self._cloud_operations.enqueue(self.decide_scaling())
        # This comes last: a write that fails during an outage must not prevent the deletion of overdue
        # machines.
        if self._scheduler.leader and self._scheduler.policy.recovery:
            self.monitor_zones()
        return STEP_PERIOD_S

    def decide_scaling(self) -> ScalingActions:
        """Returns the machines to launch and to delete now.

        While leadership is not verified, nothing is launched and at most overdue machines are deleted.
        Heartbeats are rejected during that time, so silence is measured only from when they are accepted
        again. Otherwise all machines would appear silent after a long outage, and the whole fleet would be
        deleted.
        """
        if self._verifier.is_verified_leader():
            return self._scheduler.scaling_step(self._listening_since())
        self._accepting_since = self._clock()
        if self._verifier.has_no_competing_leader():
            return self._scheduler.request_overdue_deletions()
        return ScalingActions()

    def monitor_zones(self) -> None:
        """Updates the states of the zones and writes the records that have changed."""
        # A follower receives no heartbeats, however long its process has run.
        listening_since = max(self._listening_since(), self._scheduler.leader_since)
        facts = LeadershipFacts(
            self._verifier.is_verified_leader(),
            self._connectivity.is_store_reachable(),
            self._clock() - listening_since,
        )
        puts = self._scheduler.monitor_zones(facts, self._peers.reachability_by_zone())
        if not puts:
            return
        try:
            self._writes.take(len(puts))
            conditions = {records.LEADERSHIP: self._scheduler.term}
            if not self._store.compare_and_swap(conditions, puts).applied:
                self._scheduler.on_zones_not_written(puts)
        except (UnavailableError, OutcomeUnknownError):
            self._scheduler.on_zones_not_written(puts)
            raise

    def _listening_since(self) -> float:
        """Returns the time since which heartbeats have been neither rejected nor missed during a stall."""
        return max(self._accepting_since, self._stall_detector.resumed_at())
