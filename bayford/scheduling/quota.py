"""Team limits and guarantees, counted over open placements.

A placement counts from before its start goes out until it is closed on evidence, so what the team's
tasks really use can never be more than what is counted here.
"""

from dataclasses import dataclass

from bayford.scheduling.model import ARRAY, EPS, JobSpec


@dataclass(slots=True)
class TeamQuota:
    """One team's guarantee, limit and use. Without a limit `cpus_max` or `gpus_max` is infinite."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float
    used_cpus: float = 0.0
    used_gpus: float = 0.0

    def reserve(self, spec: JobSpec) -> None:
        """Count one open placement."""
        self.used_cpus += spec.cpus
        self.used_gpus += spec.gpus

    def release(self, spec: JobSpec) -> None:
        """A placement was closed."""
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
        return self._count(spec, self.cpus_max, self.gpus_max)

    def unmet_guarantee(self, spec: JobSpec) -> int:
        """How many more such tasks lie within the guarantee."""
        return self._count(spec, self.cpus, self.gpus)

    def _count(self, spec: JobSpec, cpus: float, gpus: float) -> int:
        most = float(spec.tasks)
        if spec.cpus > 0:
            most = min(most, (cpus - self.used_cpus + EPS) / spec.cpus)
        if spec.gpus > 0:
            most = min(most, (gpus - self.used_gpus + EPS) / spec.gpus)
        return max(0, int(most))

    @property
    def exceeds_guarantee(self) -> bool:
        """Whether the team borrows: it uses more than its guarantee."""
        return self.used_cpus > self.cpus + EPS or self.used_gpus > self.gpus + EPS
