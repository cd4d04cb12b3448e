"""Logs periodically which jobs wait and why, and how many requests this controller sends to the store."""

import logging
from collections.abc import Callable, Iterable

from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.workers.relay import Relay, RelayReason
from bayford.storage.counting_store import CountingStore

log = logging.getLogger(__name__)

PERIOD_S = 15.0


class StatusLog:
    """The periodic status report in the log. Run by one thread."""

    def __init__(
        self,
        scheduler: Scheduler,
        stores: Iterable[CountingStore],
        refused_submissions: Callable[[], int],
        relay: Relay,
    ) -> None:
        """`refused_submissions`: returns how many submissions this controller's admission control has refused
        so far."""
        self._scheduler = scheduler
        self._stores = tuple(stores)
        self._refused_submissions = refused_submissions
        self._relay = relay

    def step(self) -> float:
        """Log the status once. Returns the seconds until the next report."""
        for line in self._scheduler.waiting_report():
            log.info("%s", line)
        for store in self._stores:
            counts = store.counts()
            log.info(
                "store requests: component=%s requests=%d changes=%d refused=%d conflicts=%d",
                store.component,
                counts.requests,
                counts.changes,
                counts.refused,
                counts.conflicts,
            )
        refused = self._refused_submissions()
        if refused:
            log.info("submissions refused for overload: count=%d", refused)
        relayed = self._relay.counts()
        if relayed:
            log.info(
                "relaying: %s deferred_commands=%d",
                " ".join(f"{reason}={relayed.get(reason, 0)}" for reason in RelayReason),
                self._relay.deferred_commands,
            )
        return PERIOD_S
