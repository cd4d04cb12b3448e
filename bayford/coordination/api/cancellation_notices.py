"""Notices to the leader of cancellations that were confirmed here.

The leader learns of them by its watch as a rule. Where the state service refuses it, or everybody a moment
later, this is how it learns of them before the bound on the age of its view makes it stop answering.
"""

import logging
import threading
from collections.abc import Callable, Mapping

log = logging.getLogger("bayford.cancellations")

CancellationTimes = dict[str, float]  # job, time of day of its cancellation
Notify = Callable[[CancellationTimes], bool]  # True once the other controller has them


class CancellationNotices:
    """The notices of one controller that the leader has not had yet."""

    def __init__(
        self,
        name: str,
        notify: Mapping[str, Notify],
        leader: Callable[[], str],
        cancel_s: float,
        wall: Callable[[], float],
    ) -> None:
        """`notify`: how to reach each other controller. After `cancel_s` a notice is of no use to anybody."""
        self._name = name
        self.notify = dict(notify)
        self._leader = leader
        self._cancel_s = cancel_s
        self._wall = wall
        self._lock = threading.Lock()
        self._pending: CancellationTimes = {}
        self._added = threading.Event()

    def add(self, job_id: str, cancelled_at: float) -> None:
        """A cancellation was confirmed here."""
        with self._lock:
            self._pending[job_id] = cancelled_at
        self._added.set()

    def wait(self, timeout_s: float) -> None:
        """Wait until there is something to send, or for so long."""
        self._added.wait(timeout_s)
        self._added.clear()

    def send(self) -> bool:
        """One attempt; whether nothing is left to send."""
        leader = self._leader()
        pending = self._current()
        if not pending:
            return True
        notify = self.notify.get(leader)
        if leader != self._name and (notify is None or not notify(pending)):
            log.debug("%s is not told of %d cancellations", leader or "nobody", len(pending))
            self._added.set()
            return False
        with self._lock:
            for job_id in pending:
                self._pending.pop(job_id, None)
        return True

    def _current(self) -> CancellationTimes:
        """The notices that are still of use; the others are dropped."""
        wall = self._wall()
        with self._lock:
            self._pending = {job: at for job, at in self._pending.items() if wall - at < self._cancel_s}
            return dict(self._pending)
