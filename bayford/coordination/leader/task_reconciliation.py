"""Updates placements and jobs in the leader's state from the task states in heartbeats."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MIN_HEALTHY_RUN_S, MachineHealth
from bayford.coordination.leader.task_failures import TaskFailures
from bayford.protocol import workers
from bayford.scheduling.model import GANG, SERVICE, Downtime, Machine, Placement

log = logging.getLogger(__name__)

# Reasons for the end of a task that are a failure neither of the task nor of its machine.
BLAMELESS_REASONS = (workers.STOPPED, workers.PEER_LOST, workers.GANG_INCOMPLETE, workers.DONE)


class TaskReconciliation:
    """Reconciles placements with the reported states of their tasks.

    Callers must hold the lock of the leader's state.
    """

    def __init__(self, state: LeaderState, health: MachineHealth) -> None:
        self._state = state
        self._failures = TaskFailures(state, health)

    def reconcile(
        self, machine: Machine, placement: Placement, status: workers.TaskState, now: float
    ) -> None:
        """Apply the state of a placed task, as reported in a heartbeat of its machine."""
        placement.started = True
        if status.phase == workers.RUNNING:
            self._on_running(machine, placement, now)
        elif status.phase == workers.FETCHING:
            machine.images.setdefault(placement.job.image, False)
            self._state.capacity_index.add_image(machine, placement.job.image)
        elif status.phase == workers.ENDED:
            self._on_ended(machine, placement, status, now)

    def _on_running(self, machine: Machine, placement: Placement, now: float) -> None:
        if placement.running_since is None:
            placement.running_since = now - self._assumed_run_s(placement)
            self._state.use_image(machine, placement.job, is_fetched=True)
            if placement.job.is_service and placement.placed_by_this_leader:
                self._log_replica_running(machine, placement, now)
        elif (
            placement.job.is_service and now - MIN_HEALTHY_RUN_S > placement.running_since > machine.failed_at
        ):
            # Services have no completed tasks, so a steadily running replica is the evidence that the machine
            # works.
            machine.failures_by_job.clear()

    def _assumed_run_s(self, placement: Placement) -> float:
        """Return the assumed run time so far, in seconds, of a task that is first seen running.

        The start of a task that an earlier leader placed is unknown, so half of its expected run time is
        assumed. If its run were counted from the failover, the task would appear to have just started, and
        therefore cheap to preempt.
        """
        if placement.placed_by_this_leader or placement.job.is_service:
            return 0.0
        return 0.5 * self._state.expected_run_s(placement.job)

    def _log_replica_running(self, machine: Machine, placement: Placement, now: float) -> None:
        """Log the downtime of a replica and the parts it consists of."""
        job = placement.job
        # An earlier leader may have seen the replica running, so without a record only the time since this
        # term began is known.
        down = job.down_since.pop(
            placement.task, Downtime(max(job.created, self._state.leader_since), unnoticed_s=0.0)
        )
        log.info(
            "replica running: task=%s machine=%s down_s=%.1f unnoticed_s=%.1f placing_s=%.1f starting_s=%.1f",
            placement.task_id,
            machine.name,
            down.unnoticed_s + now - down.noticed_at,
            down.unnoticed_s,
            placement.placed_at - down.noticed_at,
            now - placement.placed_at,
        )

    def _on_ended(
        self, machine: Machine, placement: Placement, status: workers.TaskState, now: float
    ) -> None:
        job = placement.job
        self._state.close(machine, placement, now)
        if status.reason == workers.DONE and job.spec.shape != SERVICE:
            self._on_done(machine, placement, now)
            return
        if job.cancelled:
            return
        if job.is_service and status.reason in (workers.DONE, workers.ERROR):
            self._failures.on_replica_ended(job, placement, now)
        else:
            job.requeue(placement.task)
        if job.spec.shape == GANG:
            # A gang cannot continue without one of its tasks: stop the others, so that all start together.
            for other in job.open.values():
                if not other.stopping:
                    self._state.stop(other, job.spec.checkpoint_grace_s)
        if status.reason not in BLAMELESS_REASONS:
            self._failures.on_failed_or_refused(machine, placement, status.reason, now)

    def _on_done(self, machine: Machine, placement: Placement, now: float) -> None:
        """Record the completion of a task."""
        job = placement.job
        job.done.add(placement.task)
        job.completed_at = now
        job.failed_runs = 0
        job.failed_on.forget(machine.index)
        self._state.events.on_task_done(placement)
        self._state.use_image(machine, job, is_fetched=True)
        machine.completed_tasks += 1
        machine.failures_by_job.clear()
        if placement.running_since is not None and placement.placed_by_this_leader:
            # Run times counted from a failover must not be observed: the estimator would learn that tasks end
            # within seconds. The backlog would then appear empty, so that too few machines are launched and
            # nothing is preempted for urgent jobs.
            self._state.run_times.observe(job.job_class, job.spec.estimate_s, now - placement.running_since)
        if job.finished:
            log.info("job done: job=%s duration_s=%.1f", job.spec.id, now - job.created)
            self._state.queue_completion(job)
