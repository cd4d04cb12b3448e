"""Preemption: stops running tasks to make room for waiting work, on machines and under team limits.

`scheduling.preemption` decides which tasks may be preempted under PROTOCOL and computes the work lost.
"""

from __future__ import annotations

import dataclasses
import logging
import math
from dataclasses import dataclass, field
from typing import NamedTuple

from bayford.coordination.leader.leader_state import RESERVATION_S, LeaderState
from bayford.recovery import return_order
from bayford.scheduling import placement_rules, preemption
from bayford.scheduling.model import URGENT, Job, Machine, Placement
from bayford.scheduling.quota import TeamQuota
from bayford.scheduling.resources import EPS

log = logging.getLogger(__name__)

SEARCH_PERIOD_S = 0.25  # minimum time between searches, which are too costly for every round
JOBS_PER_SEARCH = 4  # maximum number of preempting jobs per search
MAX_STOPS_PER_MACHINE = 4  # maximum number of victims on one machine for one waiting task


@dataclass(slots=True)
class _Search:
    """The state of one search for victims, shared by several preempting jobs."""

    now: float
    quotas: list[TeamQuota]  # copies, with the capacity of stopping tasks already released
    machines: list[Machine]
    preemptions_left: int  # stops that this search may still request
    losses: dict[Placement, float] = field(default_factory=dict)  # cache: cost of stopping each task


@dataclass(frozen=True, slots=True)
class _PreemptingJob:
    """A waiting job that may preempt other work."""

    job: Job
    tasks: int  # number of tasks to make room for
    unmet_guarantee: int  # number of those tasks that are within the team's unmet guarantee


class _TeamVictim(NamedTuple):
    """A task that may be stopped for a service of its own team. Victims are stopped in ascending order of
    `rank`."""

    rank: tuple[bool, int, float, tuple[str, int]]
    placement: Placement


class Preemptor:
    """Stops running tasks to make room for waiting ones. The caller must hold the lock of the leader's
    state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self._search_count = 0  # searches so far; selects the window of a large fleet that a search looks at

    # -- room on the machines --------------------------------------------------------------------------

    def make_room(self, queue: list[Job], now: float) -> None:
        """Stop the running tasks with the least cost to make room for waiting work that may preempt them
        under PROTOCOL."""
        state = self._state
        if now < state.preempt_at:
            return
        preempting = self._preempting_jobs(queue, now)
        if not preempting:
            return
        state.preempt_at = now + SEARCH_PERIOD_S
        search = self._begin_search(now)
        # Capacity that tasks are expected to release by finishing within `preempt_wait_s` needs no stops.
        released_cpus = state.policy.preempt_wait_s * self._cpus_released_per_s()
        for entry in preempting:
            job, tasks = entry.job, entry.tasks
            if now - job.created < 2.0 * state.policy.preempt_wait_s and not job.is_service:
                placeable = min(tasks, int(released_cpus / max(job.spec.cpus, 0.1)))
                released_cpus -= placeable * job.spec.cpus
                tasks -= placeable
            if tasks > 0:
                self._preempt_for(job, tasks, entry.unmet_guarantee, search)

    def _preempting_jobs(self, queue: list[Job], now: float) -> list[_PreemptingJob]:
        """Return the first jobs in the queue whose waiting work may preempt other work, at most
        `JOBS_PER_SEARCH`, with the number of tasks to make room for."""
        state = self._state
        reserved: dict[str, int] = {}  # job id -> number of machines reserved for the job
        for machine in state.machines.values():
            if machine.reserved_until > now:
                reserved[machine.reserved_for] = reserved.get(machine.reserved_for, 0) + 1
        preempting = []
        for job in queue:
            if not job.waiting or job.not_before > now:
                continue
            quota = state.quotas[job.team]
            tasks = min(len(job.waiting), quota.headroom(job.spec))
            unmet_guarantee = 0
            if job.is_service or now - job.created > state.policy.guarantee_wait_s:
                unmet_guarantee = quota.unmet_guarantee(job.spec)
            if job.spec.priority < URGENT:
                # Only unmet guarantees preempt; tasks beyond the guarantee use borrowed capacity and wait.
                tasks = min(tasks, unmet_guarantee)
            tasks -= reserved.get(job.spec.id, 0)
            if tasks > 0:
                preempting.append(_PreemptingJob(job, tasks, unmet_guarantee))
        return preempting[:JOBS_PER_SEARCH]

    def _begin_search(self, now: float) -> _Search:
        state = self._state
        quotas = [dataclasses.replace(quota) for quota in state.quotas]
        machines_with_stops = set()
        for placement in state.stopping:
            quotas[placement.job.team].release(placement.job.spec)
            machines_with_stops.add(placement.machine)
        machines = [
            machine
            for machine in state.machines.values()
            if not machine.relay
            and machine.index not in machines_with_stops
            and machine.zone not in state.closed_zones
        ]
        running = sum(len(job.open) for job in state.jobs.values())
        # The number of stops scales with the fleet, as does the capacity that running tasks release.
        preemptions_left = max(state.policy.preempt_per_round, int(state.policy.preempt_share * running))
        self._search_count += 1
        return _Search(now, quotas, machines, preemptions_left)

    def _cpus_released_per_s(self) -> float:
        """Return the CPUs released per second by finishing tasks, estimated from their expected run times."""
        state = self._state
        return sum(
            len(job.open) * job.spec.cpus / max(1.0, state.expected_run_s(job))
            for job in state.jobs.values()
            if not job.is_service
        )

    def _preempt_for(self, job: Job, tasks: int, unmet_guarantee: int, search: _Search) -> None:
        """Stop running tasks to make room for up to `tasks` tasks of the job. `unmet_guarantee`: the number
        of those tasks that are within its team's unmet guarantee."""
        state = self._state
        for option in self._find_options(job, search, unmet_guarantee > 0):
            if tasks <= 0 or search.preemptions_left <= 0:
                break
            victims = option.victims
            if any(victim.placement.stopping for victim in victims):
                continue  # an earlier job in this search already uses this machine
            if not all(preemption.may_stop(job, v.job, search.quotas, unmet_guarantee > 0) for v in victims):
                continue
            # Without the reservation, smaller tasks would take the capacity that is already free there, and
            # the stops would not make enough room.
            machine = state.machines[option.machine]
            machine.reserved_for, machine.reserved_until = job.spec.id, search.now + RESERVATION_S
            unmet_guarantee -= 1
            tasks -= 1
            for victim in victims:
                victim.job.record_preemption(victim.placement.task)
                search.quotas[victim.job.team].release(victim.job.spec)
                state.stop(victim.placement, preemption.stop_grace_s(victim.job.spec))
                search.preemptions_left -= 1
            log.info(
                "preempting: job=%s machine=%s victims=%s",
                job.spec.id,
                machine.name,
                [victim.placement.task_id for victim in victims],
            )

    def _find_options(
        self, waiting: Job, search: _Search, unmet_guarantee: bool
    ) -> list[preemption.PreemptionOption]:
        """Return, for each searched machine where it is possible, the stops that make room for one task;
        cheapest first."""
        state = self._state
        now = search.now
        zone_counts = placement_rules.placements_by_zone(waiting, state.zone_of)
        max_silence_s = state.max_heartbeat_age_s
        skip_ending = waiting.spec.priority < URGENT  # non-urgent work does not stop tasks that end soon
        may_avoid = waiting.is_service or bool(waiting.failed_on)
        options: list[preemption.PreemptionOption] = []
        candidates = placement_rules.candidates(waiting, search.machines, zone_counts, now)
        for machine in self._search_window(candidates):
            if waiting.is_service and not placement_rules.is_responsive(machine, now, max_silence_s):
                continue
            in_returning_zone = machine.zone in state.returning_zones
            victims = [
                preemption.Victim(placement.job, placement, self._stop_cost(placement, search))
                for placement in machine.open.values()
                if not placement.unpreemptable
                and not (in_returning_zone and self._violates_return_order(waiting, placement.job))
                and preemption.may_stop(waiting, placement.job, search.quotas, unmet_guarantee)
                and not (skip_ending and self._ends_soon(placement, now))
            ]
            if not victims:
                continue
            option = preemption.choose_victims(machine, waiting, victims, MAX_STOPS_PER_MACHINE)
            if option is not None:
                option.cost = self._placement_cost(machine, waiting, option.cost)
                option.is_last_resort = may_avoid and placement_rules.is_avoided(waiting, machine, now)
                options.append(option)
        options.sort(key=lambda option: (option.is_last_resort, option.cost, option.machine))
        return options

    def _violates_return_order(self, waiting: Job, victim: Job) -> bool:
        """Return whether the waiting job may not preempt the victim on a machine of a returning zone.

        There a job gets only the capacity that those before it in the return order leave.
        """
        order = self._state.policy.return_order
        return return_order.rank(waiting, order) > return_order.rank(victim, order)

    def _search_window(self, machines: list[Machine]) -> list[Machine]:
        """Return the machines that this search looks at, at most `preempt_machines`; successive searches take
        successive windows of the fleet."""
        size = self._state.policy.preempt_machines
        if len(machines) <= size:
            return machines
        windows = math.ceil(len(machines) / size)
        begin = self._search_count % windows * size
        return machines[begin : begin + size]

    def _stop_cost(self, placement: Placement, search: _Search) -> float:
        """Return the cost of stopping a task, in seconds. It does not depend on the waiting job, so it is
        cached for the search."""
        loss = search.losses.get(placement)
        if loss is None:
            state = self._state
            expected_s = state.expected_run_s(placement.job)
            loss = preemption.lost_work(placement.job, placement, search.now, expected_s)
            loss += preemption.delay_cost(
                placement.job, placement, search.now, expected_s, state.due_s(placement.job)
            )
            search.losses[placement] = loss
        return loss

    def _ends_soon(self, placement: Placement, now: float) -> bool:
        """Return whether a task is expected to finish soon, in which case stopping it would waste its
        work."""
        ran_s = 0.0 if placement.running_since is None else now - placement.running_since
        return self._state.expected_run_s(placement.job) - ran_s < self._state.policy.guarantee_wait_s / 2

    def _placement_cost(self, machine: Machine, waiting: Job, loss: float) -> float:
        """Return the total cost of placing the waiting task on this machine. `loss`: the cost of the stops
        there."""
        state = self._state
        cost = loss
        if not machine.images.get(waiting.image) and machine.type is not None:
            # The waiting task would first have to fetch its image on this machine.
            cost += state.fetch_s(waiting, machine) * waiting.spec.cpus * state.policy.fetch_weight
        if waiting.is_service:
            # Spread the replicas, so that the loss of one machine affects few of them.
            replicas = sum(placement.job is waiting for placement in machine.open.values())
            cost += state.policy.spread_s * replicas * waiting.spec.cpus * state.policy.fetch_weight
        return cost

    # -- room under the teams' limits ------------------------------------------------------------------

    def make_room_under_limits(self, now: float) -> None:
        """Preempt lower-priority work of the same team for services that can't start because of the team's
        limit."""
        state = self._state
        for job in state.jobs.values():
            if job.is_service and job.waiting and not job.cancelled and job.not_before <= now:
                blocked_replicas = len(job.waiting) - state.quotas[job.team].headroom(job.spec)
                if blocked_replicas > 0:
                    self._preempt_own_team(job, blocked_replicas, now)

    def _preempt_own_team(self, service: Job, replicas: int, now: float) -> None:
        """Stop lower-priority tasks of the service's team until `replicas` more replicas fit under the team's
        limit. Tasks that are already stopping count as released."""
        cpus, gpus = replicas * service.spec.cpus, replicas * service.spec.gpus
        victims = []
        for job in self._state.jobs.values():
            if job.team != service.team or job.spec.priority >= service.spec.priority or job.is_service:
                continue
            for placement in job.open.values():
                if placement.stopping:
                    cpus, gpus = cpus - job.spec.cpus, gpus - job.spec.gpus
                else:
                    victims.append(self._rank_team_victim(service, placement, now))
        stopped = 0
        for victim in sorted(victims, key=lambda victim: victim.rank):
            if stopped >= self._state.policy.preempt_per_round or (cpus <= EPS and gpus <= EPS):
                break
            job = victim.placement.job
            if (cpus > EPS and job.spec.cpus > 0) or (gpus > EPS and job.spec.gpus > 0):
                cpus, gpus = cpus - job.spec.cpus, gpus - job.spec.gpus
                self._state.stop(victim.placement, preemption.stop_grace_s(job.spec))
                stopped += 1
        if stopped:
            log.info("preempting under the team's limit: job=%s victims=%d", service.spec.id, stopped)

    def _rank_team_victim(self, service: Job, placement: Placement, now: float) -> _TeamVictim:
        """Rank a running task as a victim: tasks on machines that a replica may use rank first, then tasks of
        lower priority, then those that lose the least work."""
        job = placement.job
        machine = self._state.machines[placement.machine]
        loss = preemption.lost_work(job, placement, now, self._state.expected_run_s(job))
        replica_allowed = placement_rules.type_allowed(service, machine) and machine.usable
        return _TeamVictim((not replica_allowed, job.spec.priority, loss, placement.key), placement)
