"""Handles tasks that failed or were refused: decides whether the job or the machine is at fault, and when the
job is retried."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MIN_HEALTHY_RUN_S, MachineHealth
from bayford.protocol import workers
from bayford.scheduling.model import Job, Machine, Placement

log = logging.getLogger(__name__)

MIN_STEADY_RUN_S = 30.0  # a run longer than this resets a replica's back-off
MAX_REPLICA_BACKOFF_S = 30.0
MAX_JOB_BACKOFF_S = 60.0
MAX_BACKOFF_DOUBLINGS = 5
MAX_REPLICA_BACKOFF_DOUBLINGS = 10
JOB_FAULT_BACKOFF_S = 8.0  # first back-off of a job that fails on every machine
REFUSED_BACKOFF_S = 2.0  # back-off of a job that a worker refused to run
FULL_MACHINE_BACKOFF_S = 1.0
MAX_FAILED_MACHINES = 8  # number of machines that a job avoids after failures; if more, the list is cleared


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
            self._on_failed(machine, job, placement.task_id, now)
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

    def _on_failed(self, machine: Machine, job: Job, task_id: str, now: float) -> None:
        """Attribute a task's failure: to the job if it fails on every machine, otherwise to the machine."""
        job.errors += 1
        job.failed_on.add(machine.index)
        machine.failed_at = now
        machine.failures_by_job[job.spec.id] = machine.failures_by_job.get(job.spec.id, 0) + 1
        log.error(
            "task failed: task=%s machine=%s job_failures=%d job_failed_machines=%d",
            task_id,
            machine.name,
            job.errors,
            len(job.failed_on),
        )
        runs_elsewhere = self._runs_elsewhere(job, now)
        if len(job.failed_on) >= self._state.policy.job_fault_machines and not runs_elsewhere:
            job.failed_on.clear()
            if not job.is_service:  # replicas of a service back off individually
                wait_s = self._back_off(job, now, JOB_FAULT_BACKOFF_S)
                log.error("job backed off, fails on every machine: job=%s wait_s=%.0f", job.spec.id, wait_s)
            return
        if len(job.failed_on) > MAX_FAILED_MACHINES:
            job.failed_on.clear()
        self._health.on_task_failed(machine, job, runs_elsewhere, now)

    def _runs_elsewhere(self, job: Job, now: float) -> bool:
        """Return whether the job has completed tasks, or runs on machines on which it has not failed.

        Among hundreds of machines several may be faulty at the same time, and a large array job is placed on
        several of them. As long as it runs elsewhere, the job is not at fault.
        """
        return bool(job.done) or any(
            placement.running_since is not None
            and now - placement.running_since > MIN_HEALTHY_RUN_S
            and placement.machine not in job.failed_on
            for placement in job.open.values()
        )
