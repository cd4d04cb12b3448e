"""Tasks that failed or were refused: whether job or machine is at fault, and when the job is tried again."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MIN_HEALTHY_RUN_S, MachineHealth
from bayford.protocol import workers
from bayford.scheduling.model import Job, Machine, Placement

log = logging.getLogger(__name__)

MIN_STEADY_RUN_S = 30.0  # after a run of this length a replica's back-off begins anew
MAX_REPLICA_BACKOFF_S = 30.0
MAX_JOB_BACKOFF_S = 60.0
MAX_BACKOFF_DOUBLINGS = 5
MAX_REPLICA_BACKOFF_DOUBLINGS = 10
JOB_FAULT_BACKOFF_S = 8.0  # the first back-off of a job that fails on every machine
REFUSED_BACKOFF_S = 2.0  # of a job that a worker refused to run
FULL_MACHINE_BACKOFF_S = 1.0
MAX_FAILED_MACHINES = 8  # so many machines a job avoids because it failed there; with more it avoids none


class TaskFailures:
    """Back-off of jobs and replicas. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState, health: MachineHealth) -> None:
        self._state = state
        self._health = health

    def on_not_run(self, machine: Machine, placement: Placement, reason: str | None, now: float) -> None:
        """A task has failed, or its machine has refused it."""
        job = placement.job
        if reason == workers.FULL:
            # The placement was decided on an outdated view of the machine; wait for a newer heartbeat.
            self._state.refusals += 1
            machine.backoff_until = now + FULL_MACHINE_BACKOFF_S
            log.debug("task refused: task=%s machine=%s reason=full", placement.task_id, machine.name)
        elif reason == workers.ERROR:
            self._on_failed(machine, job, placement.task_id, now)
        else:
            log.info("task refused: task=%s machine=%s reason=%s", placement.task_id, machine.name, reason)
            if reason == workers.UNKNOWN and job.not_before <= now:
                # A submission that its user gave up on and that was executed late: no worker may ever know
                # it. Tried every other second it would keep capacity from all others for ever.
                self._back_off(job, now, REFUSED_BACKOFF_S)
            job.not_before = max(job.not_before, now + REFUSED_BACKOFF_S)

    def on_replica_ended(self, job: Job, placement: Placement, now: float) -> None:
        """A replica of a service has ended by itself: it is started again at once, but one that ends again
        and again only after a while, each time a longer one. The job's other replicas go on."""
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
        """Try the job again only after a while, each time a longer one; the seconds until then."""
        wait_s = min(MAX_JOB_BACKOFF_S, first_s * 2.0 ** min(job.backoff_count, MAX_BACKOFF_DOUBLINGS))
        job.backoff_count += 1
        job.not_before = now + wait_s
        return wait_s

    def _on_failed(self, machine: Machine, job: Job, task_id: str, now: float) -> None:
        """A task failed: blame the machine if it fails several jobs, the job if it fails everywhere."""
        job.errors += 1
        job.failed_on.add(machine.index)
        machine.failed_at = now
        machine.failed_jobs[job.spec.id] = machine.failed_jobs.get(job.spec.id, 0) + 1
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
            if not job.is_service:  # replicas of a service back off, each by itself
                wait_s = self._back_off(job, now, JOB_FAULT_BACKOFF_S)
                log.error("job back-off, it fails on every machine: job=%s wait_s=%.0f", job.spec.id, wait_s)
            return
        if len(job.failed_on) > MAX_FAILED_MACHINES:
            job.failed_on.clear()
        self._health.on_task_failed(machine, job, runs_elsewhere, now)

    def _runs_elsewhere(self, job: Job, now: float) -> bool:
        """Whether the job runs on machines on which it has not failed.

        Of hundreds of machines some are faulty at the same time, and a large array meets several of them: as
        long as it runs elsewhere, the fault is not the job's.
        """
        return bool(job.done) or any(
            placement.running_since is not None
            and now - placement.running_since > MIN_HEALTHY_RUN_S
            and placement.machine not in job.failed_on
            for placement in job.open.values()
        )
