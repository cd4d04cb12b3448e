"""Workload facts for admission control: the teams that exceed their guarantee, and the backlog."""

from bayford.admission.facts import WorkloadFacts
from bayford.coordination.leader.leader_state import LeaderState
from bayford.protocol import message_sizes
from bayford.scheduling import scaling
from bayford.scheduling.model import Job
from bayford.scheduling.resources import EPS

BOOTING_FRACTION = 10  # the fleet is growing if over one machine in this many is booting or requested


def gather(state: LeaderState) -> WorkloadFacts:
    """Return the current facts. Holds the lock of the leader's state while iterating over its jobs."""
    with state.lock:
        machine_cpus = [machine.cpus for machine in state.machines.values() if machine.usable]
        mean_cpus = sum(machine_cpus) / max(1, len(machine_cpus))
        cpus_by_team = [0.0] * len(state.quotas)
        cpu_seconds: dict[int, float] = {}  # by priority
        for job in state.jobs.values():
            if job.cancelled:
                continue
            cpus_by_team[job.team] += job.spec.cpus * _count_open_tasks(job)
            if not job.is_service:
                priority = job.spec.priority
                job_cpu_seconds = _estimate_cpu_seconds(state, job, mean_cpus)
                cpu_seconds[priority] = cpu_seconds.get(priority, 0.0) + job_cpu_seconds
        over_guarantee = frozenset(
            quota.name
            for quota, used in zip(state.quotas, cpus_by_team, strict=True)
            if used > quota.cpus + EPS
        )
        return WorkloadFacts(over_guarantee, _estimate_backlog_s(state, cpu_seconds, sum(machine_cpus)))


def _count_open_tasks(job: Job) -> int:
    return job.spec.tasks - len(job.done)


def _estimate_cpu_seconds(state: LeaderState, job: Job, machine_cpus: float) -> float:
    """Return the CPU seconds that the job's open tasks use up on machines of this size."""
    max_per_machine = message_sizes.reportable_tasks(job.report_bytes)
    cpus = scaling.machine_cpus_used(job.spec.cpus, machine_cpus, max_per_machine)
    return cpus * _count_open_tasks(job) * state.expected_run_s(job)


def _estimate_backlog_s(
    state: LeaderState, cpu_seconds: dict[int, float], fleet_cpus: float
) -> dict[int, float]:
    """Return by priority the seconds that the fleet needs for the tasks of this and all higher priorities.

    Empty while the fleet may still grow: while more than one machine in `BOOTING_FRACTION` is booting or
    requested, or while the cloud has not recently refused a launch. Empty also without usable machines.
    """
    now = state.clock()
    has_refused_launch = any(until > now for until in state.refused.values())
    booting = sum(not machine.registered for machine in state.machines.values()) + sum(
        state.launching.values()
    )
    if not has_refused_launch or booting * BOOTING_FRACTION > len(state.machines) or fleet_cpus <= 0:
        return {}
    backlog_s = {}
    total = 0.0
    for priority in sorted(cpu_seconds, reverse=True):
        total += cpu_seconds[priority]
        backlog_s[priority] = total / fleet_cpus
    return backlog_s
