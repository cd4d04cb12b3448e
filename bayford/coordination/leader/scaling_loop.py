"""Hands the autoscaler's decisions to the cloud, and writes what has become of lost zones."""

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
    """Run by one thread."""

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
        """`writes`: the leader's rate of changes."""
        self._scheduler = scheduler
        self._cloud_operations = cloud_operations
        self._verifier = verifier
        self._connectivity = connectivity
        self._peers = peers
        self._stall_detector = stall_detector
        self._store = store
        self._writes = writes
        self._clock = clock
        self._listening_since = clock()  # heartbeats have been taken without a break

    def step(self) -> float:
        """Decide once and have the decisions carried out."""
        if self._scheduler.leader:
            self._cloud_operations.carry_out(self.scaling_once())
        # Last: a write that fails in an outage must not keep overdue machines from being deleted.
        if self._scheduler.leader and self._scheduler.policy.recovery:
            self.monitor_zones()
        return STEP_PERIOD_S

    def scaling_once(self) -> ScalingActions:
        """What to launch and to delete now; nothing while leadership is not verified.

        Meanwhile heartbeats are turned away, so that a silent machine means nothing: silence counts from when
        they are taken again. Otherwise the end of a long outage would be the end of the fleet.
        """
        if self._verifier.is_verified_leader():
            return self._scheduler.scaling_step(self._listening_from())
        self._listening_since = self._clock()
        if self._verifier.no_competing_leader():
            return self._scheduler.overdue_step()
        return ScalingActions()

    def monitor_zones(self) -> None:
        """Update the states of the zones and write what has changed."""
        facts = LeadershipFacts(
            self._verifier.is_verified_leader(),
            self._connectivity.store_reachable(),
            self._clock() - self._listening_from(),
        )
        puts = self._scheduler.monitor_zones(facts, self._peers.reach_by_zone())
        if not puts:
            return
        try:
            self._writes.take(len(puts))
            conditions = {records.LEADERSHIP: self._scheduler.term}
            if not self._store.compare_and_swap(conditions, puts).applied:
                self._scheduler.zones_not_written(puts)
        except (UnavailableError, OutcomeUnknownError):
            self._scheduler.zones_not_written(puts)
            raise

    def _listening_from(self) -> float:
        """Since when heartbeats have been taken: neither turned away nor missed in a stall."""
        return max(self._listening_since, self._stall_detector.resumed_at())
