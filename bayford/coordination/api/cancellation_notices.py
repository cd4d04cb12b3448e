"""Notices to the leader of cancellations that were confirmed at this controller.

As a rule the leader learns of them from its watch cache. If the state service refuses the leader's reads, or
all controllers' a moment later, it learns of them by these notices, before the bound on the age of its watch
cache makes it stop answering.
"""

import logging
import threading
from collections.abc import Callable, Mapping

log = logging.getLogger(__name__)

CancellationTimes = dict[str, float]  # by job: the time of day of its cancellation
Notify = Callable[[CancellationTimes], bool]  # True once the other controller has confirmed them

WAIT_S = 1.0
RETRY_S = 0.3  # after an attempt that did not reach the leader


class CancellationNotices:
    """The notices of one controller that the leader has not confirmed yet.

    `add` may be called by any thread, `step` and `send` by one of their own.
    """

    def __init__(
        self,
        name: str,
        notify: Mapping[str, Notify],
        leader: Callable[[], str],
        cancel_s: float,
        wall: Callable[[], float],
    ) -> None:
        """`name`: this controller. `notify`: how to reach each of the others, by name. `leader`: who leads,
        empty if nobody does. `cancel_s`: a notice older than so many seconds is of no use and is dropped.
        `wall`: the time of day."""
        self._name = name
        self.notify = dict(notify)
        self._leader = leader
        self._cancel_s = cancel_s
        self._wall = wall
        self._lock = threading.Lock()  # guards `_pending`
        self._pending: CancellationTimes = {}
        self._added = threading.Event()

    def add(self, job_id: str, cancelled_at: float) -> None:
        """A cancellation was confirmed here."""
        with self._lock:
            self._pending[job_id] = cancelled_at
        self._added.set()

    def step(self) -> float:
        """Wait a moment for a notice and send what there is; seconds until the next attempt."""
        self._added.wait(WAIT_S)
        self._added.clear()
        return 0.0 if self.send() else RETRY_S

    def send(self) -> bool:
        """Try once to send all notices; whether none is left. The leader itself sends none."""
        leader = self._leader()
        pending = self._current()
        if not pending:
            return True
        notify = self.notify.get(leader)
        if leader != self._name and (notify is None or not notify(pending)):
            log.debug(
                "cancellation notices not delivered: leader=%s count=%d", leader or "none", len(pending)
            )
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
            self._pending = {
                job_id: cancelled_at
                for job_id, cancelled_at in self._pending.items()
                if wall - cancelled_at < self._cancel_s
            }
            return dict(self._pending)
