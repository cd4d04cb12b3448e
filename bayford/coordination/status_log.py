"""A periodic account in the log: which jobs wait and why, and what this controller asks of the store."""

import logging
from collections.abc import Callable, Iterable

from bayford.coordination.leader.scheduler import Scheduler
from bayford.storage.counting_store import CountingStore

log = logging.getLogger(__name__)

PERIOD_S = 15.0


class StatusLog:
    """Run by one thread."""

    def __init__(
        self,
        scheduler: Scheduler,
        stores: Iterable[CountingStore],
        refused_submissions: Callable[[], int],
    ) -> None:
        """`refused_submissions`: how many submissions admission has refused here so far."""
        self._scheduler = scheduler
        self._stores = tuple(stores)
        self._refused_submissions = refused_submissions

    def step(self) -> float:
        """Write the account once."""
        for line in self._scheduler.waiting():
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
        return PERIOD_S
