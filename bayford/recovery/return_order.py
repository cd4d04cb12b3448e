"""The order in which work is placed in a returning zone.

The classes in the operators' list come first, then all other classes in order of decreasing priority. A class
gets the capacity that the classes before it leave unused, because their tasks are placed or cannot use it. So
no class waits for one that has nothing to place or that needs other machines. Pure functions.
"""

from collections.abc import Sequence

from bayford.scheduling.model import PRIORITIES, Job, Machine


def rank(job: Job, order: Sequence[str]) -> int:
    """Returns the job's rank in the order, the smallest first. `order`: the operators' list of classes."""
    if job.spec.job_class in order:
        return order.index(job.spec.job_class)
    return len(order) + len(PRIORITIES) - job.spec.priority


def fetch_allowed(job: Job, machine: Machine) -> bool:
    """Returns whether a machine of the zone may start a task of the job now.

    Each machine fetches one image at a time. Concurrent fetches would share its link and all be delayed.
    """
    if job.image in machine.images:
        return True
    return all(machine.images.values())
