"""Targets of the job classes, from the service-level objectives in the settings."""

from collections.abc import Sequence
from dataclasses import dataclass

from bayford.config import Objective


@dataclass(slots=True)
class Objectives:
    """Targets in seconds after a job's acceptance."""

    completion_targets_s: dict[str, float]  # by class name; for jobs without a deadline
    # Classes that may consist of services: the objectives set targets for their start but not for their end.
    # A class is removed by `JobRecords` when one of its jobs turns out not to be a service.
    service_classes: set[str | None]
    service_start_target_s: float  # within which a service's replicas must run; 0: no target

    @classmethod
    def of(cls, objectives: Sequence[Objective]) -> "Objectives":
        """Return the targets derived from the objectives in the settings."""
        ending_classes = {o.job_class for o in objectives if o.kind in ("finished", "deadline")}
        start_objectives = [
            o for o in objectives if o.kind in ("wait", "up") and o.job_class not in ending_classes
        ]
        return cls(
            completion_targets_s={
                o.job_class: o.within_s
                for o in objectives
                if o.kind == "finished" and o.job_class is not None and o.within_s is not None
            },
            service_classes={o.job_class for o in start_objectives},
            service_start_target_s=min((o.within_s for o in start_objectives if o.within_s), default=0.0),
        )
