"""Moves of running tasks that free the room which a waiting task needs (docs/design.md).

The trials are those of `scheduling.tempered`; this shows them the fleet and carries the best plan out.
"""

import logging

from bayford.coordination.leader.commit_batch import Migration
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.migrator import Migrator
from bayford.protocol import workers
from bayford.scheduling import placement_rules, tempered
from bayford.scheduling.model import EPS, GANG, SERVICE, AttemptKey, Job, Machine

log = logging.getLogger("bayford.engine")


class Balancer:
    """The paper's balancer. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState, migrator: Migrator) -> None:
        self._state = state
        self._migrator = migrator

    def free_room(self, queue: list[Job], now: float) -> None:
        """The paper's balancer: move running tasks off a machine to free the room that a waiting task
        needs there, when it fits on no machine. Moves are stops with a hint where to go on."""
        state = self._state
        if state.stopping or state.uncounted_migrations:
            return  # room is being made as it is
        waiting = [
            job
            for job in queue
            if job.waiting
            and job.spec.shape != GANG
            and job.not_before <= now
            and state.quotas[job.team].allows(job.spec)
        ]
        if not waiting:
            return
        # Room that is being made for a job, or that a worker just refused, is not there for others.
        usable = [
            m
            for m in state.machines.values()
            if m.usable and not m.relay and m.reserved_until <= now and m.backoff_until <= now
        ]
        state.balance_asked += 1
        free = sum(m.free_cpus for m in usable)
        running = sum(len(m.open) for m in state.machines.values())
        left = tempered.budget(running, state.policy.balance_share)
        hosts: dict[int, tempered.Host] = {}
        for job in waiting[: state.policy.balance_jobs]:
            if free + EPS < job.spec.cpus:
                continue  # a move shifts room and makes none: so much is not left in the whole fleet
            hosts = hosts or {m.index: self._host(m) for m in self.known(usable)}
            plan = self._plan(job, left, usable, hosts, now)
            if plan is None:
                continue
            # Else the task moved away may be first in the queue and come straight back.
            source = state.machines[plan.source]
            placements = [source.open[move.key] for move in plan.moves]
            self._migrator.keep_room(source.index, job, placements)
            self._migrator.move(
                [
                    Migration(placement, move.target, now)
                    for placement, move in zip(placements, plan.moves, strict=True)
                ]
            )
            log.info(
                "job %s fits nowhere: moving %s off %s (imbalance then %.2f)",
                job.spec.id,
                [m.key[0] for m in plan.moves],
                state.machine_names[plan.source],
                plan.imbalance,
            )
            return  # the snapshot has changed

    def _plan(
        self, job: Job, moves: int, usable: list[Machine], hosts: dict[int, tempered.Host], now: float
    ) -> tempered.Plan | None:
        state = self._state
        spec = job.spec
        counts = placement_rules.zones_open(job, state.zone_of)
        allowed = placement_rules.candidates(job, usable, counts, now)
        if any(m.has_room(spec) for m in allowed):
            return None  # it fits as it is and is about to be placed
        state.balance_tried += 1
        need = (spec.cpus, spec.gpus, spec.mem_gb)
        sources = []
        for machine in allowed:
            host = hosts.get(machine.index)
            if host is None:
                continue
            room = host.free
            for item in host.items:
                room = tempered.add(room, item.need)
            if host.items and tempered.fits(need, room):
                sources.append((spec.cpus - machine.free_cpus, machine.index))
        best: tempered.Plan | None = None
        counts_ = tempered.Counts(state.policy.balance_trials, state.policy.balance_iterations, moves)

        def allowed_(key: AttemptKey, target: int) -> bool:
            # A service is not interrupted for work that may wait: only for another of its rank or above.
            moved = state.jobs[(workers.split_task(key[0]) or ("", 0))[0]]
            return (not moved.is_service or spec.priority >= moved.spec.priority) and self.may_move(
                key, target
            )

        for _, index in sorted(sources)[: state.policy.balance_sources]:
            plan = tempered.free_room(list(hosts.values()), index, need, counts_, allowed_, state.rng)
            if plan is not None and (best is None or plan.imbalance < best.imbalance):
                best = plan
        return best

    def known(self, usable: list[Machine]) -> list[Machine]:
        """The machines that this round draws from. As the paper's ranks know some of the others (§IV-B), a
        round knows a random part of a large fleet, so that its cost does not grow with it."""
        most = self._state.policy.balance_machines
        return usable if len(usable) <= most else self._state.rng.sample(usable, most)

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
        """Whether the task's job allows the target, the task itself gone from where it is."""
        state = self._state
        job_id, task = workers.split_task(key[0]) or ("", 0)
        job, machine = state.jobs[job_id], state.machines[target]
        here = state.zone_of(job.open[task].machine)
        counts = placement_rules.zones_open(job, state.zone_of)
        if here is not None:
            counts[here] -= 1
            if not counts[here]:
                del counts[here]
        if job.is_service and not self._may_move_replica(job, machine):
            return False
        return (
            machine.zone is not None
            and machine.zone not in state.closed_zones | state.returning_zones
            and self._migrator.allows(job, task)
            and machine.index not in job.failed_on
            and placement_rules.type_allowed(job, machine)
            and placement_rules.zone_allowed(job, machine.zone, counts)
        )

    def _may_move_replica(self, job: Job, machine: Machine) -> bool:
        """A move is a gap in the service: to a machine that has the image and no replica, one of a job at a
        time, and only while all its others run."""
        return (
            bool(machine.images.get(job.image))
            and not job.waiting
            and not job.backing_off
            and not any(placement.job is job for placement in machine.open.values())
            and not any(p.stopping or p.running_since is None for p in job.open.values())
        )
