"""Launches and deletions that the autoscaler decides on and `cloud_operations` carries out."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LaunchRequest:
    """A number of machines to launch. `type` and `zone` are the cloud's names."""

    type: str
    zone: str
    spot: bool
    count: int
    reason: str


@dataclass(frozen=True, slots=True)
class Deletion:
    """A machine to delete, and the reason."""

    machine: str
    reason: str


@dataclass(slots=True)
class ScalingActions:
    """The launches and deletions that were decided in one step."""

    launches: list[LaunchRequest] = field(default_factory=list)
    deletions: list[Deletion] = field(default_factory=list)
