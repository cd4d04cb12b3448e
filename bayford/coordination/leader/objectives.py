"""What the service-level objectives of the settings say of classes of jobs."""

from collections.abc import Sequence
from dataclasses import dataclass

from bayford.config import Objective


@dataclass(slots=True)
class Objectives:
    """Targets by class name, in seconds after a job's acceptance."""

    completion_targets_s: dict[str, float]  # for jobs without a deadline of their own
    # Classes that the objectives name and that may be services: how soon they start counts, how soon they
    # end does not. A job of another shape shows that its class is none; `LeaderState` then removes it.
    service_classes: set[str | None]
    service_start_target_s: float  # in which a service's replicas have to run; 0 if no objective says

    @classmethod
    def of(cls, objectives: Sequence[Objective]) -> "Objectives":
        """Gather the targets from the settings."""
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
