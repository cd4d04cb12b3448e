"""Runs the scheduling rounds."""

from bayford.coordination.leader.scheduler import Scheduler
from bayford.coordination.signals import Signals

PERIOD_S = 0.5  # between two rounds, if nothing asks for one sooner
MIN_GAP_S = 0.08


class RoundLoop:
    """Run by one thread."""

    def __init__(self, scheduler: Scheduler, signals: Signals) -> None:
        self._scheduler = scheduler
        self._signals = signals

    def step(self) -> float:
        """Wait until a round is asked for or due, and run it if this controller leads."""
        if self._signals.round.wait(PERIOD_S):
            self._signals.round.clear()
        if self._scheduler.leader:
            self._scheduler.round()
            if self._scheduler.has_pending_writes():
                self._signals.commit.set()
        return MIN_GAP_S
