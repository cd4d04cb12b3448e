"""Migrations of running tasks: stops with a hint where to go on.

With load spread on, a migration is counted against the restart budget of its task's class before the task is
stopped, and the count is durable first, so that no leader after this one allows more.
"""

import logging
from collections.abc import Sequence

from bayford.coordination.leader.commit_batch import Migration
from bayford.coordination.leader.leader_events import LeaderListener
from bayford.coordination.leader.leader_state import ROOM_KEPT_S, LeaderState
from bayford.scheduling import preemption
from bayford.scheduling.model import Job, Placement

log = logging.getLogger(__name__)

MAX_DECISION_AGE_S = 5.0  # a migration whose count became durable later is not begun: the fleet has changed


class Migrator(LeaderListener):
    """Begins migrations. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        state.events.subscribe(self)

    def allows(self, job: Job, task: int) -> bool:
        """Whether the task may be restarted by a migration once more."""
        return not self._state.policy.spread or self._state.restarts.allows(
            job.spec.id, job.spec.job_class, task
        )

    def move(self, migrations: Sequence[Migration]) -> None:
        """Have tasks go on elsewhere, at once or when their counts are durable."""
        state = self._state
        if not state.policy.spread:
            self.begin(migrations)
            return
        for migration in migrations:
            job = migration.placement.job
            state.restarts.note(job.spec.id, migration.placement.task)
            state.uncounted_migrations.setdefault(job.spec.id, []).append(migration)

    def on_migrations_counted(self, migrations: Sequence[Migration]) -> None:
        """See `LeaderListener`."""
        self.begin(migrations)

    def begin(self, migrations: Sequence[Migration]) -> None:
        """Stop the tasks, as far as the migrations still make sense."""
        for migration in migrations:
            obstacle = self._obstacle(migration)
            if obstacle:
                log.info("migration dropped: task=%s reason=%s", migration.placement.task_id, obstacle)
                continue
            job = migration.placement.job
            job.hints[migration.placement.task] = migration.target
            self._state.stop(migration.placement, preemption.stop_grace_s(job.spec))
            self._state.moves += 1

    def _obstacle(self, migration: Migration) -> str:
        """Why the migration can't begin any more, empty if it can."""
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

    def keep_room(self, index: int, job: Job, moved: Sequence[Placement]) -> None:
        """Reserve the machine for a job while these tasks save their progress."""
        machine = self._state.machines[index]
        save_s = max((placement.job.spec.checkpoint_save_s for placement in moved), default=0.0)
        machine.reserved_for, machine.reserved_until = job.spec.id, self._state.clock() + ROOM_KEPT_S + save_s
