"""Team limits and guarantees, counted over open placements.

A placement counts from before its start goes out until it is closed on evidence, so what the team's tasks
really use can never be more than what is counted here. Guarded by the lock of the leader's state.
"""

from dataclasses import dataclass

from bayford.scheduling.model import ARRAY, EPS, JobSpec


@dataclass(slots=True)
class TeamQuota:
    """One team's guarantee, limit and use. Without a limit `cpus_max` or `gpus_max` is infinite."""

    name: str
    cpus: float  # guaranteed, 0 for none
    cpus_max: float
    gpus: float  # guaranteed, 0 for none
    gpus_max: float
    used_cpus: float = 0.0  # by open placements
    used_gpus: float = 0.0

    def reserve(self, spec: JobSpec) -> None:
        """Count one open placement."""
        self.used_cpus += spec.cpus
        self.used_gpus += spec.gpus

    def release(self, spec: JobSpec) -> None:
        """Undo `reserve` for one placement that was closed."""
        self.used_cpus -= spec.cpus
        self.used_gpus -= spec.gpus

    def allows(self, spec: JobSpec) -> bool:
        """Whether one more task stays within the limit."""
        return (
            self.used_cpus + spec.cpus <= self.cpus_max + EPS
            and self.used_gpus + spec.gpus <= self.gpus_max + EPS
        )

    def could_ever(self, spec: JobSpec) -> bool:
        """Whether the limit can ever hold the job: one task of an array, all of anything else."""
        count = 1 if spec.shape == ARRAY else spec.tasks
        return spec.cpus * count <= self.cpus_max + EPS and spec.gpus * count <= self.gpus_max + EPS

    def headroom(self, spec: JobSpec) -> int:
        """How many more such tasks the limit allows."""
        return self._tasks_within(spec, self.cpus_max, self.gpus_max)

    def unmet_guarantee(self, spec: JobSpec) -> int:
        """How many more such tasks lie within the guarantee."""
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
