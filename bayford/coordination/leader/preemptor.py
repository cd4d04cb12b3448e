"""Stops that make room for waiting work, on the machines and under the limits of the teams.

Whom PROTOCOL lets be stopped, and what that loses, is decided in `scheduling.preemption`.
"""

from __future__ import annotations

import dataclasses
import logging
import math
from dataclasses import dataclass, field

from bayford.coordination.leader.leader_state import ROOM_KEPT_S, LeaderState
from bayford.scheduling import placement_rules, preemption
from bayford.scheduling.model import EPS, URGENT, Job, Machine, Placement
from bayford.scheduling.quota import TeamQuota

log = logging.getLogger("bayford.engine")

SEARCH_PERIOD_S = 0.25  # victims are looked for on all machines, so not in every round
JOBS_PER_SEARCH = 4  # jobs that room is made for at a time
MOST_PER_MACHINE = 4  # tasks stopped on one machine for one task


@dataclass(slots=True)
class _Search:
    """One search for victims, for several jobs."""

    now: float
    quotas: list[TeamQuota]  # as they will be once the stops under way are through
    machines: list[Machine]
    preemptions_left: int  # how many more there may be
    losses: dict[Placement, float] = field(default_factory=dict)  # what each stop would cost


@dataclass(frozen=True, slots=True)
class _Wanting:
    """A job that may push others out."""

    job: Job
    tasks: int  # that want room
    unmet_guarantee: int  # of these, within the team's guarantee


class Preemptor:
    """Stops running tasks for waiting ones. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self._searches = 0  # so far: each begins elsewhere in a large fleet

    def make_room(self, queue: list[Job], now: float) -> None:
        """Stop the cheapest tasks for waiting work that PROTOCOL lets push them out."""
        state = self._state
        if now < state.preempt_at:
            return
        wanting = self._wanting(queue, now)
        if not wanting:
            return
        state.preempt_at = now + SEARCH_PERIOD_S
        search = self._begin_search(now)
        # What tasks give back by themselves in a moment needs no stops.
        given = state.policy.preempt_wait_s * self._turnover()
        for entry in wanting:
            job, need = entry.job, entry.tasks
            if now - job.created < 2.0 * state.policy.preempt_wait_s and not job.is_service:
                soon = min(need, int(given / max(job.spec.cpus, 0.1)))
                given -= soon * job.spec.cpus
                need -= soon
            if need > 0:
                self._stop_for(job, need, entry.unmet_guarantee, search)

    def _begin_search(self, now: float) -> _Search:
        state = self._state
        quotas = [dataclasses.replace(share) for share in state.quotas]
        busy = set()
        for placement in state.stopping:
            quotas[placement.job.team].release(placement.job.spec)
            busy.add(placement.machine)
        machines = [
            m
            for m in state.machines.values()
            if not m.relay and m.index not in busy and m.zone not in state.closed_zones
        ]
        running = sum(len(job.open) for job in state.jobs.values())
        # A fleet several times as large gives back several times as much in the same time.
        preemptions_left = max(state.policy.preempt_per_round, int(state.policy.preempt_share * running))
        self._searches += 1
        return _Search(now, quotas, machines, preemptions_left)

    def _stop_for(self, job: Job, need: int, unmet_guarantee: int, search: _Search) -> None:
        """Stop what makes room for `need` tasks of the job, of which `unmet_guarantee` lie within its
        guarantee."""
        state = self._state
        for found in self._find_victims(job, search, unmet_guarantee > 0):
            if need <= 0 or search.preemptions_left <= 0:
                break
            if any(victim.placement.stopping for victim in found):
                continue  # the machine has been taken for a job before this one
            if not all(preemption.may_stop(job, v.job, search.quotas, unmet_guarantee > 0) for v in found):
                continue
            # Else smaller tasks would take what is free there already, and the stop was for nothing.
            machine = state.machines[found[0].placement.machine]
            machine.reserved_for, machine.reserved_until = job.spec.id, search.now + ROOM_KEPT_S
            unmet_guarantee -= 1
            need -= 1
            for victim in found:
                victim.job.note_preemption(victim.placement.task)
                search.quotas[victim.job.team].release(victim.job.spec)
                saves = victim.job.spec.checkpoint_interval_s > 0
                state.stop(victim.placement, victim.job.spec.checkpoint_grace_s if saves else 0.0)
                search.preemptions_left -= 1
            log.info("job %s waits: stopping %s", job.spec.id, [v.placement.task_id for v in found])

    def _turnover(self) -> float:
        """CPUs that running tasks give back in a second, as long as they are expected to last."""
        state = self._state
        return sum(
            len(job.open) * job.spec.cpus / max(1.0, state.expected(job))
            for job in state.jobs.values()
            if not job.is_service
        )

    def make_room_under_limits(self, now: float) -> None:
        """Have services run that their team's limit keeps from it while the team runs work of lower
        priority."""
        state = self._state
        for job in state.jobs.values():
            if job.is_service and job.waiting and not job.cancelled and job.not_before <= now:
                lacking = len(job.waiting) - state.quotas[job.team].headroom(job.spec)
                if lacking > 0:
                    self._stop_own_work_for(job, lacking, now)

    def _stop_own_work_for(self, job: Job, need: int, now: float) -> None:
        """Stop work of the same team and of lower priority until `need` replicas fit under the team's limit:
        first what runs where a replica may go, of that what loses least. What stops already counts."""
        state = self._state
        spec = job.spec
        cpus, gpus = need * spec.cpus, need * spec.gpus
        victims = []
        for other in state.jobs.values():
            if other.team != job.team or other.spec.priority >= spec.priority or other.is_service:
                continue
            for placement in other.open.values():
                if placement.stopping:
                    cpus, gpus = cpus - other.spec.cpus, gpus - other.spec.gpus
                    continue
                machine = state.machines[placement.machine]
                loss = preemption.lost_work(other, placement, now, state.expected(other))
                there = placement_rules.type_allowed(job, machine) and machine.usable
                victims.append((not there, other.spec.priority, loss, placement.key, placement))
        preemptions_left = 0
        for *_, placement in sorted(victims, key=lambda v: v[:4]):
            if preemptions_left >= state.policy.preempt_per_round or (cpus <= EPS and gpus <= EPS):
                break
            gives = placement.job.spec
            if (cpus > EPS and gives.cpus > 0) or (gpus > EPS and gives.gpus > 0):
                cpus, gpus = cpus - gives.cpus, gpus - gives.gpus
                state.stop(placement, gives.checkpoint_grace_s if gives.checkpoint_interval_s > 0 else 0.0)
                preemptions_left += 1
        if preemptions_left:
            log.info(
                "job %s waits for its team's limit: stopping %d tasks of the team", spec.id, preemptions_left
            )

    def _wanting(self, queue: list[Job], now: float) -> list[_Wanting]:
        """Whose waiting work may push others out, how many tasks of it, and how many that is owed."""
        state = self._state
        kept: dict[str, int] = {}
        for machine in state.machines.values():
            if machine.reserved_until > now:
                kept[machine.reserved_for] = kept.get(machine.reserved_for, 0) + 1
        out = []
        for job in queue:
            if not job.waiting or job.not_before > now:
                continue
            share = state.quotas[job.team]
            need = min(len(job.waiting), share.headroom(job.spec))
            unmet_guarantee = 0
            if job.is_service or now - job.created > state.policy.guarantee_wait_s:
                unmet_guarantee = share.unmet_guarantee(job.spec)
            if job.spec.priority < URGENT:
                # Room is taken back for the guarantee alone, not for what would be borrowed on top.
                need = min(need, unmet_guarantee)
            need -= kept.get(job.spec.id, 0)
            if need > 0:
                out.append(_Wanting(job, need, unmet_guarantee))
        return out[:JOBS_PER_SEARCH]

    def _find_victims(
        self, waiting: Job, search: _Search, unmet_guarantee: bool
    ) -> list[list[preemption.Victim]]:
        """The stops that would make room for one task, machine by machine, the cheapest first."""
        state = self._state
        now = search.now
        counts = placement_rules.zones_open(waiting, state.zone_of)
        quiet = state.quiet_s
        out: list[tuple[float, int, list[preemption.Victim]]] = []
        for machine in self._window(placement_rules.candidates(waiting, search.machines, counts, now)):
            if waiting.is_service and not placement_rules.steady(machine, now, quiet):
                continue
            found = [
                preemption.Victim(placement.job, placement, self._loss(placement, search))
                for placement in machine.open.values()
                if not placement.unpreemptable
                and preemption.may_stop(waiting, placement.job, search.quotas, unmet_guarantee)
                and not (waiting.spec.priority < URGENT and self._ends_soon(placement, now))
            ]
            got = preemption.victims_on(machine, waiting, found, MOST_PER_MACHINE) if found else None
            if got is None:
                continue
            cost = got[1]
            if not machine.images.get(waiting.image) and machine.type is not None:
                # The waiting task would first fetch its image there.
                cost += state.fetch_s(waiting, machine) * waiting.spec.cpus * state.policy.fetch_weight
            if waiting.is_service:
                # A loss should take few replicas of a job.
                here = sum(placement.job is waiting for placement in machine.open.values())
                cost += state.policy.spread_s * here * waiting.spec.cpus * state.policy.fetch_weight
            out.append((cost, machine.index, got[0]))
        out.sort(key=lambda entry: entry[:2])
        return [found for _, _, found in out]

    def _window(self, machines: list[Machine]) -> list[Machine]:
        """As many machines as one search may look at; the next search goes on where this one ends."""
        most = self._state.policy.preempt_machines
        if len(machines) <= most:
            return machines
        windows = math.ceil(len(machines) / most)
        begin = self._searches % windows * most
        return machines[begin : begin + most]

    def _loss(self, placement: Placement, search: _Search) -> float:
        """What stopping a task costs, the same for whichever job it makes room."""
        loss = search.losses.get(placement)
        if loss is None:
            state = self._state
            expected = state.expected(placement.job)
            loss = preemption.lost_work(placement.job, placement, search.now, expected)
            loss += preemption.delay_cost(
                placement.job, placement, search.now, expected, state.due_s(placement.job)
            )
            search.losses[placement] = loss
        return loss

    def _ends_soon(self, placement: Placement, now: float) -> bool:
        """Whether a task gives its room back by itself soon; stopping it would waste its work."""
        ran = 0.0 if placement.running_since is None else now - placement.running_since
        return self._state.expected(placement.job) - ran < self._state.policy.guarantee_wait_s / 2
