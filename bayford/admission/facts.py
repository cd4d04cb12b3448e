"""What the controller reports to admission of its own state.

Apart from the rest of the package, so that a controller with admission off imports none of its libraries.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkloadFacts:
    """What the leader's state says of the accepted work."""

    over_guarantee: frozenset[str]  # teams whose open work exceeds their guaranteed CPUs
    backlog_s: Mapping[int, float]  # by priority, with those above; empty while the fleet can grow


@dataclass(frozen=True, slots=True)
class TaskLogFacts:
    """How the task log fares beside the acceptances."""

    refused: int  # transactions refused since the start
    lag_s: float  # seconds that it is behind with jobs that are done
