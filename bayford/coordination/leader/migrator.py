"""Migrations of running tasks: each is a stop with a hint that names the target machine.

With load spread enabled, a migration counts against the restart budget of the task's class. The count is made
durable before the task is stopped, so that later leaders respect the budget too.
"""

import logging
from collections.abc import Sequence

from bayford.coordination.leader.commit_batch import Migration
from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.leader_state import RESERVATION_S, LeaderState
from bayford.scheduling import preemption
from bayford.scheduling.model import Job, Placement

log = logging.getLogger(__name__)

MAX_DECISION_AGE_S = 5.0  # older migration decisions are dropped: the fleet may have changed since


class Migrator(LeaderListener):
    """Begins migrations. The caller must hold the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        state.events.subscribe(self)

    def allows(self, job: Job, task: int) -> bool:
        """Return whether the restart budget allows one more migration of the task."""
        return not self._state.policy.spread or self._state.restarts.allows(
            job.spec.id, job.spec.job_class, task
        )

    def move(self, migrations: Sequence[Migration]) -> None:
        """Begin migrations: at once, or with load spread enabled when their counts are durable."""
        state = self._state
        if not state.policy.spread:
            self.begin(migrations)
            return
        for migration in migrations:
            job = migration.placement.job
            state.restarts.record_migration(job.spec.id, migration.placement.task)
            state.uncounted_migrations.setdefault(job.spec.id, []).append(migration)

    def on_migrations_counted(self, migrations: Sequence[Migration]) -> None:
        """See `LeaderListener`."""
        self.begin(migrations)

    def begin(self, migrations: Sequence[Migration]) -> None:
        """Stop the tasks of those migrations that are still possible."""
        for migration in migrations:
            reason = self._rejection_reason(migration)
            if reason:
                log.info("migration dropped: task=%s reason=%s", migration.placement.task_id, reason)
                continue
            job = migration.placement.job
            job.migration_targets[migration.placement.task] = migration.target
            self._state.stop(migration.placement, preemption.stop_grace_s(job.spec))
            self._state.migrations += 1

    def _rejection_reason(self, migration: Migration) -> str:
        """Return the reason why the migration can no longer begin, or an empty string if it can."""
        state = self._state
        placement = migration.placement
        if placement.job.open.get(placement.task) is not placement:
            return "the task has ended or its machine is gone"
        if placement.stopping or placement.job.cancelled:
            return "the task is being stopped"
        target = state.machines.get(migration.target)
        if target is None or not target.usable:
            return "the target takes no work any more"
        if state.clock() - migration.decided_at > MAX_DECISION_AGE_S:
            return "its restart count took too long to be written"
        return ""

    def reserve_machine(self, index: int, job: Job, moved: Sequence[Placement]) -> None:
        """Reserve the machine for a job until the migrated tasks have had time to save their checkpoints."""
        machine = self._state.machines[index]
        save_s = max((placement.job.spec.checkpoint_save_s for placement in moved), default=0.0)
        machine.reserved_for, machine.reserved_until = (
            job.spec.id,
            self._state.clock() + RESERVATION_S + save_s,
        )
