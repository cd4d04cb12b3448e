"""Reads that are shared by all who ask for one at about the same time."""

import threading
import time
from collections.abc import Callable


class SharedReads:
    """Lets any number of threads wait for a read that is sent after they asked; one thread does the reads."""

    def __init__(self, read: Callable[[], bool]) -> None:
        """`read`: does one read, and returns whether it succeeded."""
        self._read = read
        # Guards the three ticket numbers, and is notified whenever one of them changes. Not held during a
        # read.
        self._tickets = threading.Condition()
        self._last_requested = 0
        self._last_served = 0
        self._last_failed = 0

    def wait(self, timeout_s: float) -> bool:
        """Wait until a read that was sent after this call has succeeded. False if it failed or takes
        longer."""
        with self._tickets:
            self._last_requested += 1
            ticket = self._last_requested
            self._tickets.notify_all()
            deadline = time.monotonic() + timeout_s
            while self._last_served < ticket:
                if self._last_failed >= ticket:
                    return False
                left_s = deadline - time.monotonic()
                if left_s <= 0:
                    return False
                self._tickets.wait(left_s)
        return True

    def serve(self, gap_s: float) -> None:
        """The body of the thread that reads: one read for all who wait, and at least `gap_s` between two.

        Never returns.
        """
        while True:
            with self._tickets:
                while max(self._last_served, self._last_failed) >= self._last_requested:
                    self._tickets.wait()
                ticket = self._last_requested
            succeeded = self._read()
            with self._tickets:
                if succeeded:
                    self._last_served = ticket
                else:
                    self._last_failed = ticket
                self._tickets.notify_all()
            time.sleep(gap_s)
