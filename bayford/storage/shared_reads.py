"""Reads that are shared by all threads that are waiting for one when it is sent."""

import threading
import time
from collections.abc import Callable


class SharedReads:
    """Lets threads wait for a read that is sent after their request. A single thread does the reads."""

    def __init__(self, read: Callable[[], bool]) -> None:
        """`read`: performs one read and returns whether it succeeded."""
        self._read = read
        # Guards the three ticket numbers and is notified when one of them changes. Never held during a read.
        # Each request takes the next ticket; a read serves all tickets taken before it was sent.
        self._tickets = threading.Condition()
        self._last_requested = 0
        self._last_served = 0
        self._last_failed = 0

    def wait(self, timeout_s: float) -> bool:
        """Wait until a read that was sent after this call succeeds.

        Returns False if that read fails or the wait exceeds `timeout_s`.
        """
        with self._tickets:
            self._last_requested += 1
            ticket = self._last_requested
            self._tickets.notify_all()
            deadline = time.monotonic() + timeout_s
            while self._last_served < ticket:
                if self._last_failed >= ticket:
                    return False
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    return False
                self._tickets.wait(remaining_s)
        return True

    def serve(self, pause_s: float) -> None:
        """Perform one read for all waiting threads at a time, with a pause of `pause_s` after each read.

        The body of the thread that reads; never returns.
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
            time.sleep(pause_s)
