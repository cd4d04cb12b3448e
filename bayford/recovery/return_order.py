"""In which order work comes back to a zone that returns.

The operators' list of classes goes first, then all other classes by falling priority. A class further down
gets what those above it leave: they are served, or can't use the room. So nobody waits for a class that has
nothing to place, and nobody is starved by one that needs other room. Pure.
"""

from collections.abc import Sequence

from bayford.scheduling.model import PRIORITIES, Job, Machine


def rank(job: Job, order: Sequence[str]) -> int:
    """The job's place in the return: smaller comes first."""
    if job.spec.job_class in order:
        return order.index(job.spec.job_class)
    return len(order) + len(PRIORITIES) - job.spec.priority


def fetch_allowed(job: Job, machine: Machine) -> bool:
    """Whether a machine of the zone may take a task of the job now: one fetch at a time on each cold link, or
    all of them would share it and all be late."""
    if job.image in machine.images:
        return True
    return all(machine.images.values())
