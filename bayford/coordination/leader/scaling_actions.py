"""What the autoscaler asks of the cloud, and what `cloud_operations` carries out."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LaunchRequest:
    """Machines to ask the cloud for; type and zone by the cloud's names."""

    type: str
    zone: str
    spot: bool
    count: int
    reason: str


@dataclass(frozen=True, slots=True)
class Deletion:
    """A machine to give back to the cloud, and why."""

    machine: str
    reason: str


@dataclass(slots=True)
class ScalingActions:
    """The launches and deletions that were decided in one step."""

    launches: list[LaunchRequest] = field(default_factory=list)
    deletions: list[Deletion] = field(default_factory=list)
