"""Team limits and guarantees, accounted over open placements.

A placement counts from before its start command is sent until there is evidence that the attempt has ended or
can never start, so a team's tasks never use more than the amount counted here. Guarded by the lock of the
leader's state.
"""

from dataclasses import dataclass

from bayford.scheduling.model import ARRAY, JobSpec
from bayford.scheduling.resources import EPS


@dataclass(slots=True)
class TeamQuota:
    """One team's guarantee, limit and usage. `cpus_max` and `gpus_max` are infinite if there is no limit."""

    name: str
    cpus: float  # guaranteed, 0 for none
    cpus_max: float
    gpus: float  # guaranteed, 0 for none
    gpus_max: float
    used_cpus: float = 0.0  # reserved by open placements, like used_gpus
    used_gpus: float = 0.0

    def reserve(self, spec: JobSpec) -> None:
        """Reserve the quota of one placement that is opened."""
        self.used_cpus += spec.cpus
        self.used_gpus += spec.gpus

    def release(self, spec: JobSpec) -> None:
        """Release the quota of one placement that was closed."""
        self.used_cpus -= spec.cpus
        self.used_gpus -= spec.gpus

    def allows(self, spec: JobSpec) -> bool:
        """Returns whether one more task stays within the limit."""
        return (
            self.used_cpus + spec.cpus <= self.cpus_max + EPS
            and self.used_gpus + spec.gpus <= self.gpus_max + EPS
        )

    def can_ever_fit(self, spec: JobSpec) -> bool:
        """Returns whether the job fits within the limit of a team that uses nothing.

        An array needs room for one task, a gang or a service for all of its tasks.
        """
        count = 1 if spec.shape == ARRAY else spec.tasks
        return spec.cpus * count <= self.cpus_max + EPS and spec.gpus * count <= self.gpus_max + EPS

    def headroom(self, spec: JobSpec) -> int:
        """Returns how many more tasks of the job the limit allows, at most `spec.tasks`."""
        return self._tasks_within(spec, self.cpus_max, self.gpus_max)

    def unmet_guarantee(self, spec: JobSpec) -> int:
        """Returns how many more tasks of the job fit within the guarantee, at most `spec.tasks`."""
        return self._tasks_within(spec, self.cpus, self.gpus)

    def _tasks_within(self, spec: JobSpec, cpus: float, gpus: float) -> int:
        count = float(spec.tasks)
        if spec.cpus > 0:
            count = min(count, (cpus - self.used_cpus + EPS) / spec.cpus)
        if spec.gpus > 0:
            count = min(count, (gpus - self.used_gpus + EPS) / spec.gpus)
        return max(0, int(count))

    @property
    def exceeds_guarantee(self) -> bool:
        """Whether the team uses more than its guarantee."""
        return self.used_cpus > self.cpus + EPS or self.used_gpus > self.gpus + EPS
