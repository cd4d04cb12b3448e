"""Facts about the controller's state that are the input of admission control.

They are in their own module so that a controller with admission off imports none of the package's libraries.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkloadFacts:
    """Facts about the accepted jobs, from the leader's state."""

    over_guarantee: frozenset[str]  # teams whose open jobs exceed their guaranteed CPUs
    backlog_s: Mapping[int, float]  # by priority, including higher priorities; empty while the fleet can grow


@dataclass(frozen=True, slots=True)
class TaskLogFacts:
    """The state of the task log, whose writes compete with acceptances."""

    refused: int  # transactions refused by the key-value store since this process started
    lag_s: float  # how far it is behind with completed jobs, in seconds
