"""What the leader's state says of accepted work, for admission: who is beyond a guarantee, and the
backlog."""

from bayford.admission.facts import WorkloadFacts
from bayford.coordination.leader.leader_state import LeaderState
from bayford.scheduling.model import EPS, Job

BOOTING_SHARE = 10  # one machine in so many may still boot when the fleet counts as all there is


def gather(state: LeaderState) -> WorkloadFacts:
    """The facts as of now. Takes the state's lock for a walk over its open jobs."""
    with state.lock:
        cpus = [0.0] * len(state.quotas)
        seconds: dict[int, float] = {}  # CPU seconds by priority
        for job in state.jobs.values():
            if job.cancelled:
                continue
            cpus[job.team] += job.spec.cpus * _open_tasks(job)
            if not job.is_service:
                seconds[job.spec.priority] = seconds.get(job.spec.priority, 0.0) + _cpu_seconds(state, job)
        over = frozenset(
            share.name for share, used in zip(state.quotas, cpus, strict=True) if used > share.cpus + EPS
        )
        return WorkloadFacts(over, _backlog_s(state, seconds))


def _open_tasks(job: Job) -> int:
    return job.spec.tasks - len(job.done)


def _cpu_seconds(state: LeaderState, job: Job) -> float:
    return job.spec.cpus * _open_tasks(job) * state.expected(job)


def _backlog_s(state: LeaderState, seconds: dict[int, float]) -> dict[int, float]:
    """Seconds of the fleet that is up, by priority. Empty while the fleet may still grow: machines boot or
    are asked for, or the cloud has refused none lately."""
    now = state.clock()
    fleet_cpus = sum(machine.cpus for machine in state.machines.values() if machine.usable)
    refused = any(until > now for until in state.refused.values())
    booting = sum(not machine.registered for machine in state.machines.values()) + sum(
        state.launching.values()
    )
    if not refused or booting * BOOTING_SHARE > len(state.machines) or fleet_cpus <= 0:
        return {}
    out = {}
    total = 0.0
    for priority in sorted(seconds, reverse=True):
        total += seconds[priority]
        out[priority] = total / fleet_cpus
    return out
