"""The balancer: migrates running tasks to free the room that a waiting task needs (docs/design.md).

`scheduling.tempered` runs the trials of the algorithm; this module gives them the state of the fleet and
executes the best plan.
"""

import logging

from bayford.coordination.leader.commit_batch import Migration
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.migration_rules import MigrationRules, job_and_task
from bayford.coordination.leader.migrator import Migrator
from bayford.scheduling import placement_rules, resources, tempered
from bayford.scheduling.model import GANG, SERVICE, AttemptKey, Job, Machine
from bayford.scheduling.resources import EPS, Resources

log = logging.getLogger(__name__)


class Balancer:
    """The balancer of the paper. The caller must hold the lock of the leader's state."""

    def __init__(self, state: LeaderState, migrator: Migrator) -> None:
        self._state = state
        self._migrator = migrator

    def free_room(self, queue: list[Job], now: float) -> None:
        """Migrate running tasks off a machine to free room for a waiting task that fits on no machine. A
        migration is a stop with a hint that names the target machine."""
        state = self._state
        if state.stopping or state.uncounted_migrations:
            return  # earlier stops or migrations are still in progress and will free room
        waiting = self._startable_jobs(queue, now)
        if not waiting:
            return
        # Machines reserved for a job, and machines in back-off after a refused start, are not usable.
        usable = [
            machine
            for machine in state.machines.values()
            if machine.usable
            and not machine.relay
            and machine.reserved_until <= now
            and machine.backoff_until <= now
        ]
        state.balancing_rounds += 1
        free_cpus = sum(machine.free_cpus for machine in usable)
        running = sum(len(machine.open) for machine in state.machines.values())
        max_moves = tempered.budget(running, state.policy.balance_share)
        hosts: dict[int, tempered.Host] = {}
        for job in waiting[: state.policy.balance_jobs]:
            if free_cpus + EPS < job.spec.cpus:
                continue  # migrations do not add capacity, and the whole fleet has too few free CPUs
            hosts = hosts or {
                machine.index: self._build_host(machine) for machine in self.sample_machines(usable)
            }
            plan = self._plan(job, max_moves, usable, hosts, now)
            if plan is not None:
                self._carry_out(plan, job, now)
                return  # `hosts` is out of date after the plan

    def _startable_jobs(self, queue: list[Job], now: float) -> list[Job]:
        """Return the jobs of which a single task could start if a machine had room for it."""
        return [
            job
            for job in queue
            if job.waiting
            and job.spec.shape != GANG
            and job.not_before <= now
            and self._state.quotas[job.team].allows(job.spec)
        ]

    def _carry_out(self, plan: tempered.Plan, job: Job, now: float) -> None:
        """Begin the plan's migrations. The source machine is reserved for the job; otherwise a migrated task
        that precedes the job in the queue could be placed back on it."""
        source = self._state.machines[plan.source]
        placements = [source.open[move.key] for move in plan.moves]
        self._migrator.reserve_machine(source.index, job, placements)
        self._migrator.move(
            [
                Migration(placement, move.target, now)
                for placement, move in zip(placements, plan.moves, strict=True)
            ]
        )
        log.info(
            "migrating to free room: job=%s source=%s tasks=%s imbalance_after=%.2f",
            job.spec.id,
            source.name,
            [move.key[0] for move in plan.moves],
            plan.imbalance,
        )

    def _plan(
        self, job: Job, max_moves: int, usable: list[Machine], hosts: dict[int, tempered.Host], now: float
    ) -> tempered.Plan | None:
        state = self._state
        spec = job.spec
        zone_counts = placement_rules.placements_by_zone(job, state.zone_of)
        allowed_machines = placement_rules.candidates(job, usable, zone_counts, now)
        if any(machine.has_room(job) for machine in allowed_machines):
            return None  # a task fits without migrations and will be placed in a coming round
        state.balancing_jobs += 1
        demand = job.demand
        rules = MigrationRules(state, self._migrator, now)
        limits = tempered.SearchLimits(
            state.policy.balance_trials, state.policy.balance_iterations, max_moves
        )

        def allowed(key: AttemptKey, target: int) -> bool:
            # A service is not interrupted for work of lower priority, which can wait.
            moved = state.jobs[job_and_task(key)[0]]
            if moved.is_service and spec.priority < moved.spec.priority:
                return False
            return rules.allow(key, target)

        best: tempered.Plan | None = None
        for source in self._find_sources(job, demand, allowed_machines, hosts, now):
            plan = tempered.free_room(list(hosts.values()), source, demand, limits, allowed, state.rng)
            if plan is not None and (best is None or plan.imbalance < best.imbalance):
                best = plan
        return best

    def _find_sources(
        self,
        job: Job,
        demand: Resources,
        machines: list[Machine],
        hosts: dict[int, tempered.Host],
        now: float,
    ) -> list[int]:
        """Return the machines where migrations could free enough room, at most `balance_sources`: those that
        the job avoids last, then those that lack the fewest CPUs first."""
        ranked = []
        for machine in machines:
            host = hosts.get(machine.index)
            if host is None or not host.items:
                continue
            room = host.free
            for item in host.items:
                room = resources.add(room, item.demand)
            if resources.fits(demand, room):
                is_avoided = placement_rules.is_avoided(job, machine, now)
                ranked.append((is_avoided, job.spec.cpus - machine.free_cpus, machine.index))
        return [index for _, _, index in sorted(ranked)[: self._state.policy.balance_sources]]

    def sample_machines(self, usable: list[Machine]) -> list[Machine]:
        """Return the machines that a balancing round considers: in a large fleet a random sample of
        `balance_machines`, so that the cost of a round does not grow with the fleet. This corresponds to the
        partial knowledge that a rank has of other ranks in the paper (§IV-B)."""
        size = self._state.policy.balance_machines
        return usable if len(usable) <= size else self._state.rng.sample(usable, size)

    def _build_host(self, machine: Machine) -> tempered.Host:
        items = []
        for placement in machine.open.values():
            spec = placement.job.spec
            movable = spec.shape == SERVICE or (spec.checkpoint_interval_s > 0 and spec.shape != GANG)
            if movable and placement.running_since is not None and not placement.stopping:
                items.append(tempered.Item(placement.key, placement.job.demand))
        return tempered.Host(machine.index, machine.cpus, machine.free, items)
