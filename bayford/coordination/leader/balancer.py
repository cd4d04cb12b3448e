"""Migrations of running tasks that free the room which a waiting task needs (docs/design.md).

The trials are those of `scheduling.tempered`; this shows them the fleet and carries the best plan out.
"""

import logging

from bayford.coordination.leader.commit_batch import Migration
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.migrator import Migrator
from bayford.protocol import workers
from bayford.scheduling import placement_rules, tempered
from bayford.scheduling.model import EPS, GANG, SERVICE, AttemptKey, Job, Machine

log = logging.getLogger(__name__)


def job_and_task(key: AttemptKey) -> tuple[str, int]:
    """The job's id and the task's number in it."""
    return workers.split_task(key[0]) or ("", 0)


class Balancer:
    """The paper's balancer. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState, migrator: Migrator) -> None:
        self._state = state
        self._migrator = migrator

    def free_room(self, queue: list[Job], now: float) -> None:
        """Move running tasks off a machine to free the room that a waiting task needs there, when it fits on
        no machine. Migrations are stops with a hint where to go on."""
        state = self._state
        if state.stopping or state.uncounted_migrations:
            return  # room is being made already
        waiting = self._startable(queue, now)
        if not waiting:
            return
        # Room that is being made for a job, or that a worker just refused, is not there for others.
        usable = [
            machine
            for machine in state.machines.values()
            if machine.usable
            and not machine.relay
            and machine.reserved_until <= now
            and machine.backoff_until <= now
        ]
        state.balance_asked += 1
        free_cpus = sum(machine.free_cpus for machine in usable)
        running = sum(len(machine.open) for machine in state.machines.values())
        max_moves = tempered.budget(running, state.policy.balance_share)
        hosts: dict[int, tempered.Host] = {}
        for job in waiting[: state.policy.balance_jobs]:
            if free_cpus + EPS < job.spec.cpus:
                continue  # a migration shifts room and makes none: so much is not left in the whole fleet
            hosts = hosts or {machine.index: self._host(machine) for machine in self.known(usable)}
            plan = self._plan(job, max_moves, usable, hosts, now)
            if plan is not None:
                self._carry_out(plan, job, now)
                return  # the hosts have changed

    def _startable(self, queue: list[Job], now: float) -> list[Job]:
        """The jobs of which a single task could start if there were room."""
        return [
            job
            for job in queue
            if job.waiting
            and job.spec.shape != GANG
            and job.not_before <= now
            and self._state.quotas[job.team].allows(job.spec)
        ]

    def _carry_out(self, plan: tempered.Plan, job: Job, now: float) -> None:
        """Begin the plan's migrations. The room is kept for the job: else a task moved away may be first in
        the queue and come straight back."""
        source = self._state.machines[plan.source]
        placements = [source.open[move.key] for move in plan.moves]
        self._migrator.keep_room(source.index, job, placements)
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
        if any(machine.has_room(spec) for machine in allowed_machines):
            return None  # it fits as it is and is about to be placed
        state.balance_tried += 1
        demand = (spec.cpus, spec.gpus, spec.mem_gb)
        counts = tempered.Counts(state.policy.balance_trials, state.policy.balance_iterations, max_moves)

        def allowed(key: AttemptKey, target: int) -> bool:
            # A service is not interrupted for work that may wait: only for another of its rank or above.
            moved = state.jobs[job_and_task(key)[0]]
            if moved.is_service and spec.priority < moved.spec.priority:
                return False
            return self.may_move(key, target)

        best: tempered.Plan | None = None
        for source in self._sources(job, demand, allowed_machines, hosts):
            plan = tempered.free_room(list(hosts.values()), source, demand, counts, allowed, state.rng)
            if plan is not None and (best is None or plan.imbalance < best.imbalance):
                best = plan
        return best

    def _sources(
        self, job: Job, demand: tempered.Resources, machines: list[Machine], hosts: dict[int, tempered.Host]
    ) -> list[int]:
        """The machines where migrations may free the room, those that lack the fewest CPUs first."""
        ranked = []
        for machine in machines:
            host = hosts.get(machine.index)
            if host is None or not host.items:
                continue
            room = host.free
            for item in host.items:
                room = tempered.add(room, item.demand)
            if tempered.fits(demand, room):
                ranked.append((job.spec.cpus - machine.free_cpus, machine.index))
        return [index for _, index in sorted(ranked)[: self._state.policy.balance_sources]]

    def known(self, usable: list[Machine]) -> list[Machine]:
        """The machines that this round draws from. As the paper's ranks know some of the others (§IV-B), a
        round knows a random part of a large fleet, so that its cost does not grow with it."""
        size = self._state.policy.balance_machines
        return usable if len(usable) <= size else self._state.rng.sample(usable, size)

    def _host(self, machine: Machine) -> tempered.Host:
        items = []
        for placement in machine.open.values():
            spec = placement.job.spec
            movable = spec.shape == SERVICE or (spec.checkpoint_interval_s > 0 and spec.shape != GANG)
            if movable and placement.running_since is not None and not placement.stopping:
                items.append(tempered.Item(placement.key, (spec.cpus, spec.gpus, spec.mem_gb)))
        free = (machine.free_cpus, machine.free_gpus, machine.free_mem)
        return tempered.Host(machine.index, machine.cpus, free, items)

    def may_move(self, key: AttemptKey, target: int) -> bool:
        """Whether the task's job allows the machine `target`, the task itself gone from where it is."""
        state = self._state
        job_id, task = job_and_task(key)
        job, machine = state.jobs[job_id], state.machines[target]
        zone = state.zone_of(job.open[task].machine)
        zone_counts = placement_rules.placements_by_zone(job, state.zone_of)
        if zone is not None:
            zone_counts[zone] -= 1
            if not zone_counts[zone]:
                del zone_counts[zone]
        if job.is_service and not self._may_move_replica(job, machine):
            return False
        return (
            machine.zone is not None
            and machine.zone not in state.closed_zones | state.returning_zones
            and self._migrator.allows(job, task)
            and machine.index not in job.failed_on
            and placement_rules.type_allowed(job, machine)
            and placement_rules.zone_allowed(job, machine.zone, zone_counts)
        )

    def _may_move_replica(self, job: Job, machine: Machine) -> bool:
        """A migration is a gap in the service: to a machine that has the image and no replica, one of a job
        at a time, and only while all its others run."""
        return (
            bool(machine.images.get(job.image))
            and not job.waiting
            and not job.backing_off
            and not any(placement.job is job for placement in machine.open.values())
            and not any(
                placement.stopping or placement.running_since is None for placement in job.open.values()
            )
        )
