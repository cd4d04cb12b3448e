"""Handles tasks that failed or were refused: decides whether the job or the machine is at fault, and when the
job is retried."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MachineHealth, runs_stably
from bayford.protocol import workers
from bayford.scheduling.model import Job, Machine, Placement

log = logging.getLogger(__name__)

MIN_STEADY_RUN_S = 30.0  # a run longer than this resets a replica's back-off
MAX_REPLICA_BACKOFF_S = 30.0
MAX_JOB_BACKOFF_S = 45.0
MAX_BACKOFF_DOUBLINGS = 5
MAX_REPLICA_BACKOFF_DOUBLINGS = 10
JOB_FAULT_BACKOFF_S = 8.0  # first back-off of a job that fails on every machine
REFUSED_BACKOFF_S = 2.0  # back-off of a job that a worker refused to run
FULL_MACHINE_BACKOFF_S = 1.0
COMPLETION_MEMORY_S = 30.0  # how long a completed task shows that its job is not at fault


class TaskFailures:
    """Backs off jobs and replicas. Callers must hold the lock of the leader's state."""

    def __init__(self, state: LeaderState, health: MachineHealth) -> None:
        self._state = state
        self._health = health

    def on_failed_or_refused(
        self, machine: Machine, placement: Placement, reason: str | None, now: float
    ) -> None:
        """Handle a task that failed or that its machine refused to start, for `reason`."""
        job = placement.job
        if reason == workers.FULL:
            # The placement was based on an outdated view of the machine; wait for a newer heartbeat.
            self._state.refusals += 1
            machine.backoff_until = now + FULL_MACHINE_BACKOFF_S
            log.debug("task refused: task=%s machine=%s reason=full", placement.task_id, machine.name)
        elif reason == workers.ERROR:
            self._on_failed(machine, placement, now)
        else:
            log.info("task refused: task=%s machine=%s reason=%s", placement.task_id, machine.name, reason)
            if reason == workers.UNKNOWN and job.not_before <= now:
                # A submission that was executed late, after its user had given up on it, may never be known
                # to any worker. Retried every two seconds, it would keep capacity from all other jobs
                # forever.
                self._back_off(job, now, REFUSED_BACKOFF_S)
            job.not_before = max(job.not_before, now + REFUSED_BACKOFF_S)

    def on_replica_ended(self, job: Job, placement: Placement, now: float) -> None:
        """Restart a replica of a service that ended by itself.

        The first restart is immediate. If the replica ends repeatedly, the following ones are delayed by an
        exponential back-off. The job's other replicas are not affected.
        """
        ran_steadily = (
            placement.running_since is not None and now - placement.running_since > MIN_STEADY_RUN_S
        )
        consecutive_exits = 0 if ran_steadily else job.consecutive_exits.get(placement.task, 0)
        job.consecutive_exits[placement.task] = consecutive_exits + 1
        if consecutive_exits:
            wait_s = min(
                MAX_REPLICA_BACKOFF_S, 2.0 ** min(consecutive_exits - 1, MAX_REPLICA_BACKOFF_DOUBLINGS)
            )
            job.backing_off[placement.task] = now + wait_s
        else:
            job.requeue(placement.task)

    def _back_off(self, job: Job, now: float, first_s: float) -> float:
        """Delay the job's next attempt by an exponential back-off and return the delay in seconds.

        `first_s` is the delay of the first back-off.
        """
        wait_s = min(MAX_JOB_BACKOFF_S, first_s * 2.0 ** min(job.backoff_count, MAX_BACKOFF_DOUBLINGS))
        job.backoff_count += 1
        job.not_before = now + wait_s
        return wait_s

    def _on_failed(self, machine: Machine, placement: Placement, now: float) -> None:
        """Attribute a task's failure: to the job if it fails wherever it runs, otherwise to the machine."""
        job = placement.job
        job.errors += 1
        job.failed_runs += job.failed_on.record(machine.index, placement.placed_at, now)
        machine.failed_at = now
        machine.failures_by_job[job.spec.id] = machine.failures_by_job.get(job.spec.id, 0) + 1
        log.error(
            "task failed: task=%s machine=%s job_failures=%d job_failed_machines=%d",
            placement.task_id,
            machine.name,
            job.errors,
            len(job.failed_on),
        )
        runs_elsewhere = self._runs_elsewhere(job, now)
        if job.failed_runs >= self._state.policy.job_fault_machines and not runs_elsewhere:
            self._on_job_fault(machine, job, now)
        else:
            self._health.on_task_failed(machine, job, runs_elsewhere, now)

    def _on_job_fault(self, machine: Machine, job: Job, now: float) -> None:
        """Handle the last of several failed runs of a job that runs nowhere."""
        job.failed_runs = 0
        if not job.is_service:  # replicas of a service back off individually
            wait_s = self._back_off(job, now, JOB_FAULT_BACKOFF_S)
            log.error("job backed off, fails on every machine: job=%s wait_s=%.0f", job.spec.id, wait_s)
        if set(job.failed_on) == {machine.index}:
            # Nothing shows yet whether the job or its only machine is at fault. Another machine will.
            self._health.on_only_machine_failed(machine, now)

    def _runs_elsewhere(self, job: Job, now: float) -> bool:
        """Return whether tasks of the job complete, or run on machines on which none failed since they began.

        Among hundreds of machines several may be faulty at the same time, and a large array job is placed on
        several of them. As long as it runs elsewhere, the job is not at fault.
        """
        if job.done and now - max(job.completed_at, self._state.leader_since) <= COMPLETION_MEMORY_S:
            return True
        return any(
            runs_stably(placement, now)
            and not job.failed_on.failed_since(placement.machine, placement.placed_at)
            for placement in job.open.values()
        )
