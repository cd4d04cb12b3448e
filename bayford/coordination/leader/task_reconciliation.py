"""What heartbeats say of single tasks, taken into the leader's state."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import MIN_HEALTHY_RUN_S, MachineHealth
from bayford.coordination.leader.task_failures import TaskFailures
from bayford.protocol import workers
from bayford.scheduling.model import GANG, SERVICE, Downtime, Machine, Placement

log = logging.getLogger(__name__)

# A task has ended with one of these and neither it nor its machine has failed.
BLAMELESS_REASONS = (workers.STOPPED, workers.PEER_LOST, workers.GANG_INCOMPLETE, workers.DONE)


class TaskReconciliation:
    """Makes placements follow the status of their tasks. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState, health: MachineHealth) -> None:
        self._state = state
        self._failures = TaskFailures(state, health)

    def reconcile(
        self, machine: Machine, placement: Placement, status: workers.TaskState, now: float
    ) -> None:
        """The machine's heartbeat gives this status of a task that is placed there."""
        placement.started = True
        if status.phase == workers.FETCHING:
            machine.images.setdefault(placement.job.image, False)
            self._state.capacity_index.holds(machine, placement.job.image)
        elif status.phase == workers.RUNNING:
            self._on_running(machine, placement, now)
        elif status.phase == workers.ENDED:
            self._on_ended(machine, placement, status, now)

    def _on_running(self, machine: Machine, placement: Placement, now: float) -> None:
        if placement.running_since is None:
            placement.running_since = now - self._ran_before(placement)
            self._state.use_image(machine, placement.job, there=True)
            if placement.job.is_service and placement.placed_here:
                self._log_replica_running(machine, placement, now)
        elif (
            placement.job.is_service and now - MIN_HEALTHY_RUN_S > placement.running_since > machine.failed_at
        ):
            # Where services run nothing is ever done: that a replica runs is what speaks for the machine.
            machine.failed_jobs.clear()

    def _ran_before(self, placement: Placement) -> float:
        """For how many seconds a task that is first seen running has run.

        For one that an earlier leader placed that is unknown; half of what it is expected to take is assumed.
        Counted from the failover it would seem to have hardly begun, and seem cheap to preempt.
        """
        if placement.placed_here or placement.job.is_service:
            return 0.0
        return 0.5 * self._state.expected(placement.job)

    def _log_replica_running(self, machine: Machine, placement: Placement, now: float) -> None:
        """Log for how long a replica was down, and what that was made up of."""
        job = placement.job
        # An earlier leader may have seen it running: the time since this term began is all that is known.
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
            # With one of its tasks gone the gang can't go on: stop the others, so that all start together.
            for other in job.open.values():
                if not other.stopping:
                    self._state.stop(other, job.spec.checkpoint_grace_s)
        if status.reason not in BLAMELESS_REASONS:
            self._failures.on_not_run(machine, placement, status.reason, now)

    def _on_done(self, machine: Machine, placement: Placement, now: float) -> None:
        """A task has completed."""
        job = placement.job
        job.done.add(placement.task)
        self._state.events.on_task_done(placement)
        self._state.use_image(machine, job, there=True)
        machine.completed_tasks += 1
        machine.failed_jobs.clear()
        if placement.running_since is not None and placement.placed_here:
            # Runs that were counted from a failover once taught the estimator that everything ends within
            # seconds: the backlog seemed to be nothing, so too little was launched and nothing was preempted
            # for urgent work.
            self._state.run_times.observe(job.job_class, job.spec.estimate_s, now - placement.running_since)
        if job.finished:
            log.info("job done: job=%s duration_s=%.1f", job.spec.id, now - job.created)
            self._state.queue_completion(job)
