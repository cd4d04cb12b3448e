"""Which task is stopped so that waiting work can run, and what that loses.

PROTOCOL "Preemption": a lower priority may be stopped for a higher one; borrowed work may be stopped to
give a team its guarantee; nothing else. Pure: reads jobs, placements and machines, changes nothing.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from bayford.scheduling.model import EPS, Job, JobSpec, Machine, Placement
from bayford.scheduling.quota import TeamQuota

# Weights of `delay_cost`, in expected run times of the task.
REPEATED_STOP = 0.5
MISSED_DEADLINE = 2.0
MIN_LEFT = 0.1  # a task that runs for longer than expected is taken to need so much more
LAST_TASK = 1.5  # the longest task of an array, against the mean
RESTART_S = 10.0  # until a stopped task runs again, its image fetched


@dataclass(frozen=True, slots=True)
class Victim:
    """A running task that may be stopped, and the seconds of work that stopping it throws away."""

    job: Job
    placement: Placement
    loss: float


@dataclass(slots=True)
class PreemptionOption:
    """Tasks to stop on one machine, which makes room for one waiting task."""

    machine: int
    victims: list[Victim]
    cost: float  # CPU seconds: the work that the stops throw away, and what the preemptor adds


def may_stop(waiting: Job, running: Job, quotas: list[TeamQuota], unmet_guarantee: bool) -> bool:
    """Whether PROTOCOL lets `waiting` preempt a task of `running`.

    `quotas` must be as they will be once the stops under way are through; else two teams that both waited
    would stop one another's tasks in turn. `unmet_guarantee`: the waiting job has waited long for what its
    team is guaranteed.
    """
    if waiting is running:
        return False
    if waiting.spec.priority > running.spec.priority:
        return True
    if running.is_service:
        # Its team may exceed its guarantee only by the work that ends beside the service; and a gap in one
        # service is no better than in another. Machines are launched instead.
        return False
    return unmet_guarantee and waiting.team != running.team and quotas[running.team].exceeds_guarantee


def stop_grace_s(spec: JobSpec) -> float:
    """How long a task that is stopped is given to save its progress, 0 if it saves none."""
    return spec.checkpoint_grace_s if spec.checkpoint_interval_s > 0 else 0.0


def lost_work(job: Job, placement: Placement, now: float, expected_s: float) -> float:
    """Seconds of work lost by stopping now; a task close to its end is a poor victim, so that adds.

    A checkpointing task loses only what saving costs; others lose all they have run.
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
    """What stopping the task costs its job beyond the lost work, in seconds.

    `due_s`: how long after its creation the job should be done, None without a deadline or objective.

    The task that was started last has the least to lose, so by lost work alone the same one is stopped again
    and again, and a job of a thousand tasks waits for its last one. A job that has tasks waiting anyway loses
    no time by one more. Checkpointing tasks and services keep what they have done.
    """
    if job.is_service or job.spec.checkpoint_interval_s > 0:
        return 0.0
    cost = REPEATED_STOP * expected_s * job.preemption_counts.get(placement.task, 0)
    ran_s = 0.0 if placement.running_since is None else now - placement.running_since
    ends_at = now + max(MIN_LEFT * expected_s, expected_s - ran_s)
    due_at = math.inf if due_s is None else job.created + due_s
    if ends_at > due_at:
        return cost  # the deadline is missed anyway
    share_waiting = min(1.0, len(job.waiting) / (0.5 * len(job.open) + 1.0))
    cost += expected_s * (1.0 - share_waiting)
    if now + LAST_TASK * expected_s + RESTART_S > due_at:
        cost += MISSED_DEADLINE * expected_s
    return cost


def victims_on(
    machine: Machine, waiting: Job, candidates: Iterable[Victim], max_stops: int
) -> PreemptionOption | None:
    """The stops on this machine that make room for one task of `waiting` and lose least, or None where at
    most `max_stops` of them make none, or none are needed."""
    spec = waiting.spec
    cpus, gpus, mem_gb = machine.free_cpus, machine.free_gpus, machine.free_mem
    remaining = iter(sorted(candidates, key=lambda victim: victim.loss / max(victim.job.spec.cpus, 0.1)))
    chosen: list[Victim] = []
    loss = 0.0
    while not (cpus + EPS >= spec.cpus and gpus + EPS >= spec.gpus and mem_gb + EPS >= spec.mem_gb):
        victim = next(remaining, None)
        if victim is None or len(chosen) == max_stops:
            return None
        victim_spec = victim.job.spec
        chosen.append(victim)
        loss += victim.loss * victim_spec.cpus
        cpus += victim_spec.cpus
        gpus += victim_spec.gpus
        mem_gb += victim_spec.mem_gb
    return PreemptionOption(machine.index, chosen, loss) if chosen else None
