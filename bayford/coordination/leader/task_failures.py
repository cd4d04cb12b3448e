"""Tasks that failed or were refused: who is to blame, and when they are tried again."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import RUNS_S, MachineHealth
from bayford.protocol import workers
from bayford.scheduling.model import Job, Machine, Placement

log = logging.getLogger("bayford.engine")

STEADY_S = 30.0  # a replica of a service that ran for so long begins anew
REST_S = 30.0  # and one that ends at every start waits for so long at the most


class TaskFailures:
    """Back-off of jobs and replicas. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState, health: MachineHealth) -> None:
        self._state = state
        self._health = health

    def not_run(self, machine: Machine, placement: Placement, state: workers.TaskState, now: float) -> None:
        """A task has failed, or its machine has refused it."""
        job = placement.job
        if state.reason == workers.FULL:
            # The late snapshot was wrong; wait for a newer heartbeat before trying this machine again.
            self._state.refusals += 1
            machine.backoff_until = now + 1.0
            log.debug("machine %s refused %s: full", machine.name, placement.task_id)
        elif state.reason == workers.ERROR:
            self._failed(machine, job, placement.task_id, now)
        else:
            log.info("machine %s refused %s: %s", machine.name, placement.task_id, state.reason)
            if state.reason == workers.UNKNOWN and job.not_before <= now:
                # A submission that its user gave up on and that was executed late: no worker may ever know
                # it. Tried every other second it would keep room from everybody else for ever.
                self._back_off(job, now, 2.0)
            job.not_before = max(job.not_before, now + 2.0)

    def back_off_replica(self, job: Job, placement: Placement, now: float) -> None:
        """A replica of a service has ended by itself: again at once, but one that ends again and again only
        after a while, each time a longer one. The job's other replicas go on."""
        ran = placement.running_since is not None and now - placement.running_since > STEADY_S
        consecutive_exits = 0 if ran else job.consecutive_exits.get(placement.task, 0)
        job.consecutive_exits[placement.task] = consecutive_exits + 1
        if consecutive_exits:
            job.backing_off[placement.task] = now + min(REST_S, 2.0 ** min(consecutive_exits - 1, 10))
        else:
            job.requeue(placement.task)

    def _back_off(self, job: Job, now: float, first_s: float) -> float:
        """Try the job again only after a while, each time a longer one."""
        wait = min(60.0, first_s * 2.0 ** min(job.backoff_count, 5))
        job.backoff_count += 1
        job.not_before = now + wait
        return wait

    def _failed(self, machine: Machine, job: Job, task_id: str, now: float) -> None:
        """A task failed: blame the machine if it fails several jobs, the job if it fails everywhere."""
        job.errors += 1
        job.failed_on.add(machine.index)
        machine.failed_at = now
        machine.failed_jobs[job.spec.id] = machine.failed_jobs.get(job.spec.id, 0) + 1
        log.error(
            "run failed: task %s on %s (%d failed runs of the job, on %d machines)",
            task_id,
            machine.name,
            job.errors,
            len(job.failed_on),
        )
        # Of hundreds of machines some are sick at the same time, and a large array meets several of them: as
        # long as it runs elsewhere, the fault is not the job's.
        runs = bool(job.done) or any(
            p.running_since is not None and now - p.running_since > RUNS_S and p.machine not in job.failed_on
            for p in job.open.values()
        )
        if len(job.failed_on) >= self._state.policy.job_fault_machines and not runs and job.is_service:
            job.failed_on.clear()  # its replicas rest, each by itself
            return
        if len(job.failed_on) >= self._state.policy.job_fault_machines and not runs:
            wait = self._back_off(job, now, 8.0)
            job.failed_on.clear()
            log.error("job %s fails on every machine; next try in %.0f s", job.spec.id, wait)
            return
        if len(job.failed_on) > 8:
            job.failed_on.clear()
        self._health.on_task_failed(machine, job, runs, now)
