"""A job's memory of the machines on which its tasks failed.

A machine on which a task of a job failed is avoided by the job's other starts: for a limited time it is used
only if no other machine has room. Pure: points in time are seconds on the steady clock, passed by the caller.
"""

from dataclasses import dataclass

FIRST_AVOIDANCE_S = 30.0  # how long a machine is avoided after the first failed run; doubles with each
MAX_AVOIDANCE_S = 60.0
MAX_REMEMBERED_MACHINES = 8  # per job; if there are more, the one with the oldest failure is forgotten


@dataclass(slots=True)
class FailedRuns:
    """The failures of one job on one machine."""

    failed_at: float  # the last failure
    runs: int = 1  # failed runs; tasks that were on the machine together count as one run

    def avoided_until(self) -> float:
        """Returns the time until which the job avoids the machine."""
        return self.failed_at + min(MAX_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2.0 ** (self.runs - 1))


class FailedMachines(dict[int, FailedRuns]):
    """The machines on which tasks of one job failed, by index.

    A dictionary, because it is asked for whole fleets whether it is empty, which it mostly is.
    """

    __slots__ = ()

    def record(self, machine: int, placed_at: float, now: float) -> bool:
        """Record that a task, placed on the machine at `placed_at`, failed there.

        Returns whether it is a new failed run: the first failure on the machine, or one of a task that was
        placed there after the failure before.
        """
        entry = self.get(machine)
        if entry is not None:
            is_new_run = placed_at > entry.failed_at
            entry.runs += is_new_run
            entry.failed_at = now
            return is_new_run
        if len(self) == MAX_REMEMBERED_MACHINES:
            del self[min(self, key=lambda index: self[index].failed_at)]
        self[machine] = FailedRuns(now)
        return True

    def forget(self, machine: int) -> None:
        """Forget the failures on a machine on which a task of the job has completed."""
        self.pop(machine, None)

    def avoids(self, machine: int, now: float) -> bool:
        """Returns whether the machine is the last choice for the job's tasks now."""
        entry = self.get(machine)
        return entry is not None and now < entry.avoided_until()

    def failed_since(self, machine: int, at: float) -> bool:
        """Returns whether a task of the job failed on the machine at `at` or later."""
        entry = self.get(machine)
        return entry is not None and entry.failed_at >= at
