"""What heartbeats say of single tasks, taken into the leader's state."""

import logging

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.machine_health import RUNS_S, MachineHealth
from bayford.coordination.leader.task_failures import TaskFailures
from bayford.protocol import workers
from bayford.scheduling.model import GANG, SERVICE, Machine, Placement

log = logging.getLogger("bayford.engine")


class TaskReconciliation:
    """Makes placements follow the status of their tasks. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState, health: MachineHealth) -> None:
        self._state = state
        self._failures = TaskFailures(state, health)

    def reconcile(self, machine: Machine, placement: Placement, state: workers.TaskState, now: float) -> None:
        """The machine's heartbeat gives this status of a task that is placed there."""
        placement.started = True
        if state.phase == workers.FETCHING:
            machine.images.setdefault(placement.job.image, False)
            self._state.capacity_index.holds(machine, placement.job.image)
        elif state.phase == workers.RUNNING:
            if placement.running_since is None:
                placement.running_since = now - self._ran_before(placement)
                self._state.use_image(machine, placement.job, there=True)
                if placement.job.is_service and placement.placed_at:
                    self._up(machine, placement, now)
            elif placement.job.is_service and now - RUNS_S > placement.running_since > machine.failed_at:
                # Where services run nothing is ever done: that it runs is what speaks for the machine.
                machine.failed_jobs.clear()
        elif state.phase == workers.ENDED:
            self._ended(machine, placement, state, now)

    def _ran_before(self, placement: Placement) -> float:
        """How long a task that is first seen running has run. For one that a leader before us has placed
        nobody knows; half of what it is expected to, where from the failover on it would seem to have hardly
        begun, and be cheap to stop."""
        return (
            0.0
            if placement.placed_here or placement.job.is_service
            else 0.5 * self._state.expected(placement.job)
        )

    def _up(self, machine: Machine, placement: Placement, now: float) -> None:
        """Say how long a replica was away, and of what that was made up."""
        job = placement.job
        # A leader before us may have seen it up: what is missing since we are leader is all that we know.
        since, unknown = job.down_since.pop(placement.task, (max(job.created, self._state.leader_since), 0.0))
        log.info(
            "replica %s up on %s after %.1f s: %.1f unnoticed, %.1f until placed, %.1f start and fetch",
            placement.task_id,
            machine.name,
            unknown + now - since,
            unknown,
            placement.placed_at - since,
            now - placement.placed_at,
        )

    def _ended(self, machine: Machine, placement: Placement, state: workers.TaskState, now: float) -> None:
        job = placement.job
        self._state.close(machine, placement, now)
        if state.reason == workers.DONE and job.spec.shape != SERVICE:
            self._done(machine, placement, now)
            return
        if job.cancelled:
            return
        if job.is_service and state.reason in (workers.DONE, workers.ERROR):
            self._failures.back_off_replica(job, placement, now)
        else:
            job.requeue(placement.task)
        if job.spec.shape == GANG:
            # One task down, the gang is down: stop the others, so that all can come together again.
            for other in job.open.values():
                if not other.stopping:
                    self._state.stop(other, job.spec.checkpoint_grace_s)
        if state.reason not in (workers.STOPPED, workers.PEERS, workers.ALONE, workers.DONE):
            self._failures.not_run(machine, placement, state, now)

    def _done(self, machine: Machine, placement: Placement, now: float) -> None:
        """A task has completed."""
        job = placement.job
        job.done.add(placement.task)
        self._state.events.on_task_done(placement)
        self._state.use_image(machine, job, there=True)
        machine.completed_tasks += 1
        machine.failed_jobs.clear()
        if placement.running_since is not None and placement.placed_here:
            # Runs counted from a failover taught that everything ends within seconds: the backlog seemed to
            # be nothing, so too little was launched and nothing was stopped for urgent work.
            self._state.run_times.observe(job.job_class, job.spec.estimate_s, now - placement.running_since)
        if job.finished:
            log.info("job %s done after %.1f s", job.spec.id, now - job.created)
            self._state.queue_completion(job)
