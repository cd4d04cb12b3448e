"""Facts of the accepted work, for admission: which teams exceed their guarantee, and the backlog."""

from bayford.admission.facts import WorkloadFacts
from bayford.coordination.leader.leader_state import LeaderState
from bayford.scheduling.model import EPS, Job

BOOTING_FRACTION = 10  # one machine in so many may still boot when the fleet counts as complete


def gather(state: LeaderState) -> WorkloadFacts:
    """The facts as of now. Takes the state's lock for a walk over its open jobs."""
    with state.lock:
        cpus = [0.0] * len(state.quotas)
        cpu_seconds: dict[int, float] = {}  # by priority
        for job in state.jobs.values():
            if job.cancelled:
                continue
            cpus[job.team] += job.spec.cpus * _open_tasks(job)
            if not job.is_service:
                priority = job.spec.priority
                cpu_seconds[priority] = cpu_seconds.get(priority, 0.0) + _cpu_seconds(state, job)
        over_guarantee = frozenset(
            quota.name for quota, used in zip(state.quotas, cpus, strict=True) if used > quota.cpus + EPS
        )
        return WorkloadFacts(over_guarantee, _backlog_s(state, cpu_seconds))


def _open_tasks(job: Job) -> int:
    return job.spec.tasks - len(job.done)


def _cpu_seconds(state: LeaderState, job: Job) -> float:
    return job.spec.cpus * _open_tasks(job) * state.expected(job)


def _backlog_s(state: LeaderState, cpu_seconds: dict[int, float]) -> dict[int, float]:
    """By priority, the seconds that the fleet needs for the work of this and all higher priorities.

    Empty while the fleet may still grow: machines boot or are asked for, or the cloud has refused none of
    late.
    """
    now = state.clock()
    fleet_cpus = sum(machine.cpus for machine in state.machines.values() if machine.usable)
    refused = any(until > now for until in state.refused.values())
    booting = sum(not machine.registered for machine in state.machines.values()) + sum(
        state.launching.values()
    )
    if not refused or booting * BOOTING_FRACTION > len(state.machines) or fleet_cpus <= 0:
        return {}
    backlog_s = {}
    total = 0.0
    for priority in sorted(cpu_seconds, reverse=True):
        total += cpu_seconds[priority]
        backlog_s[priority] = total / fleet_cpus
    return backlog_s
