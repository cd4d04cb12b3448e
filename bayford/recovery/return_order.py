"""In which order work comes back to a zone that returns.

The operators' list of classes goes first, then all other classes by falling priority. A class further down
gets the capacity that those above it leave, since they are served or can't use it. So no class waits for one
that has nothing to place, or for one that needs other machines. Pure functions.
"""

from collections.abc import Sequence

from bayford.scheduling.model import PRIORITIES, Job, Machine


def rank(job: Job, order: Sequence[str]) -> int:
    """The job's rank in the return, smaller first. `order`: the operators' list of classes."""
    if job.spec.job_class in order:
        return order.index(job.spec.job_class)
    return len(order) + len(PRIORITIES) - job.spec.priority


def fetch_allowed(job: Job, machine: Machine) -> bool:
    """Whether a machine of the zone may take a task of the job now.

    One image is fetched at a time on each machine's link: several would share it, and all be late.
    """
    if job.image in machine.images:
        return True
    return all(machine.images.values())
