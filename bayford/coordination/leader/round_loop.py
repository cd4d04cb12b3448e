"""Runs scheduling rounds periodically and on request."""

from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.signals import Signals

PERIOD_S = 0.5  # maximum wait for a request before a round runs anyway
MIN_GAP_S = 0.08  # minimum delay between two rounds


class RoundLoop:
    """Runs the scheduling rounds. `step` must be called by a single thread."""

    def __init__(self, scheduler: Scheduler, signals: Signals) -> None:
        self._scheduler = scheduler
        self._signals = signals

    def step(self) -> float:
        """Wait until a round is requested or due, and run it if this controller is the leader. Return the
        seconds to wait before the next call."""
        if self._signals.round.wait(PERIOD_S):
            self._signals.round.clear()
        if self._scheduler.leader:
            self._scheduler.round()
            if self._scheduler.has_pending_writes():
                self._signals.commit.set()
        return MIN_GAP_S
