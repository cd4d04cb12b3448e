"""Notifies the leader of cancellations that this controller has confirmed.

Normally the leader learns of a cancellation from its watch cache. If the key-value store refuses the leader's
reads, or starts to refuse the reads of all controllers right after a cancellation, the leader learns of it
from these notices. They arrive before the limit on the age of its watch cache makes the leader stop
answering.
"""

import logging
import threading
from collections.abc import Callable, Mapping

from bayford.protocol import mesh

log = logging.getLogger(__name__)

CancellationTimes = dict[str, float]  # by job: wall-clock time of its cancellation, in seconds
Notify = Callable[[CancellationTimes], bool]  # returns whether the other controller has confirmed them

WAIT_S = 1.0  # how long one step waits for a new notice
RETRY_S = 0.3  # after an attempt that did not reach the leader


class CancellationNotices:
    """The notices of one controller that the leader has not confirmed yet.

    `add` may be called by any thread, `step` and `send` only by the thread that sends the notices.
    """

    def __init__(
        self,
        name: str,
        notify: Mapping[str, Notify],
        leader: Callable[[], str],
        cancel_s: float,
        wall: Callable[[], float],
    ) -> None:
        """`name`: this controller. `notify`: the function that sends notices to each other controller, by
        name. `leader`: returns the name of the leader, empty if there is none. `cancel_s`: notices of
        cancellations older than this, in seconds, are dropped as useless. `wall`: the wall clock, in
        seconds."""
        self._name = name
        self.notify = dict(notify)
        self._leader = leader
        self._cancel_s = cancel_s
        self._wall = wall
        self._lock = threading.Lock()  # guards `_pending`
        self._pending: CancellationTimes = {}
        self._added = threading.Event()

    def add(self, job_id: str, cancelled_at: float) -> None:
        """Add a notice of a cancellation that this controller has confirmed."""
        with self._lock:
            self._pending[job_id] = cancelled_at
        self._added.set()

    def step(self) -> float:
        """Wait up to `WAIT_S` for a new notice, then send all. Returns the seconds until the next step."""
        self._added.wait(WAIT_S)
        self._added.clear()
        return 0.0 if self.send() else RETRY_S

    def send(self) -> bool:
        """Try once to send all notices, in as many messages as they take. Returns whether none is left.

        On the leader, clears them unsent.
        """
        leader = self._leader()
        pending = self._drop_expired()
        if not pending:
            return True
        notify = self.notify.get(leader)
        for part in mesh.split_cancelled(pending):
            if leader != self._name and (notify is None or not notify(part)):
                log.debug(
                    "cancellation notices not delivered: leader=%s count=%d", leader or "none", len(part)
                )
                self._added.set()
                return False
            with self._lock:
                for job_id in part:
                    self._pending.pop(job_id, None)
        return True

    def _drop_expired(self) -> CancellationTimes:
        """Drop the notices older than `cancel_s`. Returns the remaining ones."""
        wall = self._wall()
        with self._lock:
            pending_before = len(self._pending)
            self._pending = {
                job_id: cancelled_at
                for job_id, cancelled_at in self._pending.items()
                if wall - cancelled_at < self._cancel_s
            }
            remaining = dict(self._pending)
        expired = pending_before - len(remaining)
        if expired:
            log.info(
                "cancellation notices expired undelivered: count=%d max_age_s=%g", expired, self._cancel_s
            )
        return remaining
