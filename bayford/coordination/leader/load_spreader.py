"""Load spread in the scheduling rounds: places tasks by cost and migrates tasks off overloaded machines.

The `spread` package makes the decisions; this module gives it the state of the fleet and executes the
decisions. The log lines and settings are described in docs/load-spread.md.
"""

import logging
from collections.abc import Callable

from bayford.coordination.leader.balancer import Balancer
from bayford.coordination.leader.commit_batch import Migration
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.migration_rules import MigrationRules, job_and_task
from bayford.coordination.leader.migrator import Migrator
from bayford.scheduling import tempered
from bayford.scheduling.model import ARRAY, AttemptKey, Job, Machine, Placement
from bayford.spread.machine_snapshot import MachineSnapshot, snapshot_of
from bayford.spread.rebalance import Rebalancing, rebalance
from bayford.spread.score import Choice, Chooser, Weights, describe

log = logging.getLogger(__name__)

# Minimum ratio of a task's remaining run time to the time that its migration costs: saving a checkpoint,
# fetching the image and repeating lost work.
MIN_GAIN = 2.0


class LoadSpreader:
    """Placement and rebalancing by load. The caller must hold the lock of the leader's state."""

    def __init__(self, state: LeaderState, balancer: Balancer, migrator: Migrator) -> None:
        self._state = state
        self._balancer = balancer
        self._migrator = migrator
        policy = state.policy
        self._weights = Weights(policy.spread_fetch_weight, policy.spread_load_s, policy.spread_affinity_s)
        self._logged_unknown_types: set[int] = set()  # indexes of machines already logged

    # -- placement -------------------------------------------------------------------------------------

    def chooser(self, job: Job, count: int, can_take: Callable[[Machine], bool]) -> Chooser:
        """Return a chooser of machines for up to `count` tasks of the job."""
        state = self._state
        size = max(count, state.policy.spread_candidates)
        candidates = state.capacity_index.least_loaded(job, size, can_take)
        return Chooser(
            job,
            candidates,
            average=self._average_load(),
            weights=self._weights,
            fetch_s=lambda machine: state.fetch_s(job, machine),
        )

    def _average_load(self) -> float:
        """Return the reserved share of the fleet's CPUs, 0 to 1."""
        cpus = free_cpus = 0.0
        for machine in self._state.machines.values():
            if machine.type is not None and not machine.deleting:
                cpus += machine.cpus
                free_cpus += machine.free_cpus
        return 1.0 - free_cpus / cpus if cpus > 0 else 0.0

    def log_choices(self, job: Job, choices: list[Choice], had_image: dict[int, bool]) -> None:
        """Log why these machines were chosen: a summary, and at debug level the cost of each choice.
        `had_image`: by machine index, whether the machine held the image before the placements."""
        if not choices:
            return
        log.info("placed by cost: job=%s %s", job.spec.id, describe(choices, had_image))
        if log.isEnabledFor(logging.DEBUG):
            for choice in choices:
                cost = choice.cost
                log.debug(
                    "placed by cost: job=%s machine=%s fetch_s=%.1f load_s=%.1f affinity_s=%.2f",
                    job.spec.id,
                    choice.machine.name,
                    cost.fetch_s,
                    cost.load_s,
                    cost.affinity_s,
                )

    # -- rebalancing -----------------------------------------------------------------------------------

    def step(self, has_waiting_work: bool, now: float) -> None:
        """Migrate running tasks off machines whose load is far above the average, if this lowers the highest
        load.

        Migrations that free room for waiting work take precedence: nothing is migrated while work waits for
        room or while stops are in progress.
        """
        state = self._state
        policy = state.policy
        if not policy.spread or now < state.spread_at:
            return
        state.spread_at = now + policy.spread_every_s
        if has_waiting_work or state.stopping or state.uncounted_migrations:
            return
        snapshots = {snapshot.index: snapshot for snapshot in self._sample_snapshots(now)}
        hosts = [self._build_host(snapshot, now) for snapshot in snapshots.values()]
        running = sum(len(job.open) for job in state.jobs.values())
        limits = tempered.SearchLimits(
            policy.balance_trials, policy.balance_iterations, tempered.budget(running, policy.balance_share)
        )

        rules = MigrationRules(state, self._migrator, now)

        def allowed(key: AttemptKey, target: int) -> bool:
            return self._is_worthwhile(key, target, now) and rules.allow(key, target)

        plan = rebalance(hosts, policy.spread_threshold, limits, allowed, state.rng)
        if plan is not None:
            self._carry_out(plan, snapshots, now)

    def _sample_snapshots(self, now: float) -> list[MachineSnapshot]:
        """Return snapshots of the machines between which this round may migrate tasks: responsive machines
        whose last heartbeat is recent."""
        state = self._state
        accepting = []
        for machine in state.machines.values():
            if machine.registered and machine.type is None:
                self._log_unknown_type(machine)
            elif machine.reserved_until <= now and snapshot_of(machine, now).accepts(
                state.max_heartbeat_age_s
            ):
                accepting.append(machine)
        return [snapshot_of(machine, now) for machine in self._balancer.sample_machines(accepting)]

    def _log_unknown_type(self, machine: Machine) -> None:
        if machine.index not in self._logged_unknown_types:
            self._logged_unknown_types.add(machine.index)
            log.error("machine type not in the catalog, no migrations there: machine=%s", machine.name)

    def _build_host(self, snapshot: MachineSnapshot, now: float) -> tempered.Host:
        items = [
            tempered.Item(placement.key, placement.job.demand)
            for placement in self._state.machines[snapshot.index].open.values()
            if self._is_movable(placement, now)
        ]
        return tempered.Host(snapshot.index, snapshot.cpus, snapshot.free, items)

    def _is_movable(self, placement: Placement, now: float) -> bool:
        """Return whether the task may be migrated only to balance load. Excluded are services, gangs, tasks
        that would lose their work unless their class allows it, and tasks that started running on the machine
        less than `spread_rest_s` ago, such as tasks just migrated."""
        job = placement.job
        spec = job.spec
        policy = self._state.policy
        if (
            spec.shape != ARRAY
            or placement.running_since is None
            or placement.stopping
            or placement.unpreemptable
        ):
            return False
        if spec.checkpoint_interval_s <= 0 and spec.job_class not in policy.spread_lossy:
            return False
        return now - placement.running_since >= policy.spread_rest_s

    def _is_worthwhile(self, key: AttemptKey, target: int, now: float) -> bool:
        """Return whether the task's remaining run time is long enough to justify the migration."""
        state = self._state
        job_id, task = job_and_task(key)
        job = state.jobs[job_id]
        placement = job.open[task]
        machine = state.machines[target]
        running_since = now if placement.running_since is None else placement.running_since
        ran_s = now - running_since
        left_s = state.expected_run_s(job) - ran_s
        fetch_s = 0.0 if machine.images.get(job.image) else state.fetch_s(job, machine)
        lost_s = 0.0 if job.spec.checkpoint_interval_s > 0 else ran_s
        return left_s > MIN_GAIN * (job.spec.checkpoint_save_s + fetch_s + lost_s)

    def _carry_out(self, plan: Rebalancing, snapshots: dict[int, MachineSnapshot], now: float) -> None:
        """Begin the plan's migrations. Each target is reserved for one job, so that no other job takes the
        room while the tasks save their checkpoints; migrations of other jobs to that target are left to a
        later round."""
        state = self._state
        by_target: dict[int, list[Migration]] = {}
        for relocation in plan.relocations:
            placement = state.machines[relocation.source].open[relocation.key]
            migrations = by_target.setdefault(relocation.target, [])
            if not migrations or migrations[0].placement.job is placement.job:
                migrations.append(Migration(placement, relocation.target, now))
        for target, migrations in by_target.items():
            self._migrator.reserve_machine(
                target, migrations[0].placement.job, [migration.placement for migration in migrations]
            )
            for migration in migrations:
                self._log_migration(migration, plan, snapshots)
            self._migrator.move(migrations)

    def _log_migration(
        self, migration: Migration, plan: Rebalancing, snapshots: dict[int, MachineSnapshot]
    ) -> None:
        state = self._state
        job = migration.placement.job
        used = state.restarts.used(job.spec.id, migration.placement.task)
        log.info(
            "migrating: task=%s source=%s (%s) target=%s (%s) imbalance_before=%.2f imbalance_after=%.2f "
            "restart=%d max_restarts=%d",
            migration.placement.task_id,
            state.machine_names[migration.placement.machine],
            snapshots[migration.placement.machine].describe(),
            state.machine_names[migration.target],
            snapshots[migration.target].describe(),
            plan.before,
            plan.after,
            used + 1,
            state.restarts.limit(job.spec.job_class),
        )
