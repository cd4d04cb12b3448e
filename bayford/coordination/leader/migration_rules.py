"""Whether a running task may be migrated to a machine under the rules of its job."""

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.migrator import Migrator
from bayford.protocol import workers
from bayford.scheduling import placement_rules
from bayford.scheduling.model import AttemptKey, Job, Machine


def job_and_task(key: AttemptKey) -> tuple[str, int]:
    """Return the job id and the task number of an attempt."""
    return workers.parse_task_id(key[0]) or ("", 0)


class MigrationRules:
    """The rules for the candidates of one search.

    The caller must hold the lock of the leader's state from the first question to the last: placements are
    counted once for each job.
    """

    def __init__(self, state: LeaderState, migrator: Migrator, now: float) -> None:
        self._state = state
        self._migrator = migrator
        self._now = now
        self._zone_counts: dict[str, dict[int, int]] = {}  # by job id: open placements by zone

    def allow(self, key: AttemptKey, target: int) -> bool:
        """Return whether the task may be migrated to the machine `target` under the rules of its job. The
        zone rules are evaluated without the task's current placement."""
        state = self._state
        job_id, task = job_and_task(key)
        job, machine = state.jobs[job_id], state.machines[target]
        return (
            machine.zone is not None
            and machine.zone not in state.closed_zones | state.returning_zones
            and self._migrator.allows(job, task)
            and not placement_rules.is_avoided(job, machine, self._now)
            and placement_rules.type_allowed(job, machine)
            and (not job.is_service or self._can_move_replica(job, machine))
            and placement_rules.zone_allowed(job, machine.zone, self._zone_counts_without(job, task))
        )

    def _zone_counts_without(self, job: Job, task: int) -> dict[int, int]:
        """Return the number of the job's open placements by zone, without the placement of this task."""
        zone_of = self._state.zone_of
        counts = self._zone_counts.get(job.spec.id)
        if counts is None:
            counts = placement_rules.placements_by_zone(job, zone_of)
            self._zone_counts[job.spec.id] = counts
        zone = zone_of(job.open[task].machine)
        return {z: count - (z == zone) for z, count in counts.items() if z != zone or count > 1}

    def _can_move_replica(self, job: Job, machine: Machine) -> bool:
        """Return whether a replica may be migrated to the machine. A migration interrupts the replica, so the
        target must hold the image and no replica of the service, and all replicas must be running and none
        stopping; this also limits migrations to one replica of a service at a time."""
        return (
            bool(machine.images.get(job.image))
            and not job.waiting
            and not job.backing_off
            and not any(placement.job is job for placement in machine.open.values())
            and not any(
                placement.stopping or placement.running_since is None for placement in job.open.values()
            )
        )
