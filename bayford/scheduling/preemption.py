"""Chooses the tasks to preempt for waiting work, and estimates what their preemption costs.

PROTOCOL "Preemption": work of a lower priority may be stopped for work of a higher one, and work beyond its
team's guarantee may be stopped to give another team its guarantee; nothing else is allowed. Pure: the
functions read jobs, placements and machines and leave them unchanged.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from bayford.scheduling.model import Job, JobSpec, Machine, Placement
from bayford.scheduling.quota import TeamQuota
from bayford.scheduling.resources import add, fits

# Constants of `delay_cost`. Those without a unit are multiples of the task's expected run time.
REPEATED_PREEMPTION_COST = 0.5  # cost for each earlier preemption of the task
MISSED_DEADLINE_COST = 2.0  # cost of a preemption that makes the job miss its deadline
MIN_REMAINING_RUN = 0.1  # minimum remaining run time, also of a task that has exceeded its expected run time
LONGEST_TASK_RUN = 1.5  # run time of the longest task of an array, relative to the mean
RESTART_S = 10.0  # time until a stopped task runs again, including the image fetch


class Victim(NamedTuple):
    """A running task that may be preempted."""

    job: Job
    placement: Placement
    loss: float  # lost work and delay if it is stopped, in seconds


@dataclass(slots=True)
class PreemptionOption:
    """Tasks on one machine whose preemption frees the capacity for one waiting task."""

    machine: int  # index
    victims: list[Victim]
    cost: float  # CPU seconds: the loss of the victims, and the costs that the preemptor adds
    is_last_resort: bool = False  # tasks failed on the machine lately


def may_stop(waiting: Job, running: Job, quotas: list[TeamQuota], unmet_guarantee: bool) -> bool:
    """Returns whether PROTOCOL allows `waiting` to preempt a task of `running`.

    `quotas` must not count the placements that are being stopped; otherwise two teams with waiting work would
    preempt each other's tasks in turn. `unmet_guarantee`: the waiting job has waited long for capacity within
    its team's guarantee.
    """
    if waiting is running:
        return False
    if waiting.spec.priority > running.spec.priority:
        return True
    if running.is_service:
        # The service's team may exceed its guarantee only because of other work that ends by itself, and a
        # missing replica of this service is no better than one of the waiting service. Machines are launched
        # instead.
        return False
    return unmet_guarantee and waiting.team != running.team and quotas[running.team].exceeds_guarantee


def stop_grace_s(spec: JobSpec) -> float:
    """Returns the seconds that a stopped task gets to save a checkpoint, 0 if the job saves none."""
    return spec.checkpoint_grace_s if spec.checkpoint_interval_s > 0 else 0.0


def lost_work(job: Job, placement: Placement, now: float, expected_s: float) -> float:
    """Returns the seconds of work that are lost if the task is stopped now.

    A checkpointing task loses only the time for saving a checkpoint; any other task loses all work done so
    far. A task close to its end gets a surcharge, because it would soon release its capacity by itself.
    """
    if placement.running_since is None:
        return 0.0
    ran_s = max(0.0, now - placement.running_since)
    if job.spec.checkpoint_interval_s > 0:
        return job.spec.checkpoint_save_s + 1.0
    left_s = expected_s - ran_s
    near_end_s = 0.0 if left_s > 0.25 * expected_s else 0.5 * expected_s
    return ran_s + near_end_s


def delay_cost(job: Job, placement: Placement, now: float, expected_s: float, due_s: float | None) -> float:
    """Returns what stopping the task costs its job beyond the lost work, in seconds.

    `due_s`: how long after its creation the job should be done, None without a deadline or objective.

    The task that started last always has the least work to lose. By lost work alone the same task would be
    stopped repeatedly, and a job of a thousand tasks would wait for its last one. A job that has other tasks
    waiting is hardly delayed by one more. The cost is 0 for checkpointing tasks and for services, which lose
    no progress.
    """
    if job.is_service or job.spec.checkpoint_interval_s > 0:
        return 0.0
    cost = REPEATED_PREEMPTION_COST * expected_s * job.preemption_counts.get(placement.task, 0)
    ran_s = 0.0 if placement.running_since is None else now - placement.running_since
    ends_at = now + max(MIN_REMAINING_RUN * expected_s, expected_s - ran_s)
    due_at = math.inf if due_s is None else job.created + due_s
    if ends_at > due_at:
        return cost  # the deadline is missed even without the preemption
    share_waiting = min(1.0, len(job.waiting) / (0.5 * len(job.open) + 1.0))
    cost += expected_s * (1.0 - share_waiting)
    if now + LONGEST_TASK_RUN * expected_s + RESTART_S > due_at:
        cost += MISSED_DEADLINE_COST * expected_s
    return cost


def choose_victims(
    machine: Machine, waiting: Job, candidates: Iterable[Victim], max_victims: int
) -> PreemptionOption | None:
    """Returns victims on the machine that free the capacity for one task of `waiting`.

    Candidates with the least loss per CPU are chosen first. Returns None if more than `max_victims` would be
    needed, if all candidates together do not suffice, or if the task fits without preemption.
    """
    demand, free = waiting.demand, machine.free
    if fits(demand, free):
        return None
    chosen: list[Victim] = []
    loss = 0.0
    for victim in sorted(candidates, key=lambda victim: victim.loss / max(victim.job.spec.cpus, 0.1)):
        if len(chosen) == max_victims:
            return None
        chosen.append(victim)
        loss += victim.loss * victim.job.spec.cpus
        free = add(free, victim.job.demand)
        if fits(demand, free):
            return PreemptionOption(machine.index, chosen, loss)
    return None
