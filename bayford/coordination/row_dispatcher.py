"""Passes changed rows of the key-value store on to the components of the controller that use them."""

import logging
from collections.abc import Callable, Sequence

from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.leadership.membership import Membership
from bayford.coordination.signals import Signals
from bayford.coordination.workers.relayed_heartbeats import RelayedHeartbeats
from bayford.storage import records
from bayford.storage.key_value_store import Row

log = logging.getLogger(__name__)


class RowDispatcher:
    """Dispatches the rows that the watch cache receives. Called by the thread that has read them, by one
    thread at a time and in the order of the reads (see `WatchCache`)."""

    def __init__(
        self,
        member: str,
        membership: Membership,
        scheduler: Scheduler,
        signals: Signals,
        wall: Callable[[], float],
    ) -> None:
        """`member`: the name of this controller. `wall`: the time of day, in seconds."""
        self._member = member
        self._membership = membership
        self._scheduler = scheduler
        self._signals = signals
        self._wall = wall
        self._relayed_heartbeats = RelayedHeartbeats()

    def on_rows(self, rows: Sequence[Row]) -> None:
        """Dispatch rows that have changed."""
        jobs_changed = False
        for row in rows:
            if row.key == records.LEADERSHIP:
                self._membership.on_leadership_record(row)
            elif not self._scheduler.leader:
                continue
            elif row.key.startswith(records.JOBS):
                jobs_changed = True
                self.reconcile_job(row)
            elif row.key.startswith(records.RELAYS):
                self._apply_relayed_heartbeats(row)
        if jobs_changed:
            self._signals.round.set()
            self._signals.commit.set()

    def reconcile_job(self, row: Row) -> None:
        """Reconcile the leader's state with the record of a job."""
        try:
            self._scheduler.reconcile_job(records.decode(row.value), row.version)
        except records.UnreadableError as error:
            log.error("record unreadable: key=%s reason=%s", row.key, error)

    def _apply_relayed_heartbeats(self, row: Row) -> None:
        relay, heartbeats = self._relayed_heartbeats.decode(row, self._wall())
        if relay == self._member:
            return
        for heartbeat in heartbeats:
            self._scheduler.on_heartbeat(heartbeat, relay=relay)
        self._signals.round.set()
