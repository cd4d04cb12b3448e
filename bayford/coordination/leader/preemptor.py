"""Stops that make room for waiting work, on the machines and under the limits of the teams.

Whom PROTOCOL lets be stopped, and what that loses, is decided in `scheduling.preemption`.
"""

from __future__ import annotations

import dataclasses
import logging
import math
from dataclasses import dataclass, field

from bayford.coordination.leader.leader_state import ROOM_KEPT_S, OwnerState
from bayford.scheduling import placement_rules, preemption
from bayford.scheduling.model import EPS, URGENT, Job, Machine, Placement
from bayford.scheduling.quota import Share

log = logging.getLogger("bayford.engine")

SEARCH_PERIOD_S = 0.25  # victims are looked for on all machines, so not in every round
JOBS_PER_SEARCH = 4  # jobs that room is made for at a time
MOST_PER_MACHINE = 4  # tasks stopped on one machine for one task


@dataclass(slots=True)
class _Search:
    """One search for victims, for several jobs."""

    now: float
    shares: list[Share]  # as they will be once the stops under way are through
    machines: list[Machine]
    stops: int  # how many more there may be
    losses: dict[Placement, float] = field(default_factory=dict)  # what each stop would cost


@dataclass(frozen=True, slots=True)
class _Wanting:
    """A job that may push others out."""

    job: Job
    tasks: int  # that want room
    owed: int  # of these, within the team's guarantee


class Preemptor:
    """Stops running tasks for waiting ones. Called under the lock of the owner's state."""

    def __init__(self, state: OwnerState) -> None:
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
            if now - job.created < 2.0 * state.policy.preempt_wait_s and not job.standing:
                soon = min(need, int(given / max(job.spec.cpus, 0.1)))
                given -= soon * job.spec.cpus
                need -= soon
            if need > 0:
                self._stop_for(job, need, entry.owed, search)

    def _begin_search(self, now: float) -> _Search:
        state = self._state
        shares = [dataclasses.replace(share) for share in state.shares]
        busy = set()
        for place in state.halting:
            shares[place.job.team].give(place.job.spec)
            busy.add(place.machine)
        machines = [
            m
            for m in state.machines.values()
            if not m.relay and m.index not in busy and m.zone not in state.closed_zones
        ]
        running = sum(len(job.open) for job in state.jobs.values())
        # A fleet several times as large gives back several times as much in the same time.
        stops = max(state.policy.preempt_per_round, int(state.policy.preempt_share * running))
        self._searches += 1
        return _Search(now, shares, machines, stops)

    def _stop_for(self, job: Job, need: int, owed: int, search: _Search) -> None:
        """Stop what makes room for `need` tasks of the job, of which `owed` lie within its guarantee."""
        state = self._state
        for found in self._find_victims(job, search, owed > 0):
            if need <= 0 or search.stops <= 0:
                break
            if any(victim.place.halting for victim in found):
                continue  # the machine has been taken for a job before this one
            if not all(preemption.may_stop(job, v.job, search.shares, owed > 0) for v in found):
                continue
            # Else smaller tasks would take what is free there already, and the stop was for nothing.
            machine = state.machines[found[0].place.machine]
            machine.kept_for, machine.kept_until = job.spec.id, search.now + ROOM_KEPT_S
            owed -= 1
            need -= 1
            for victim in found:
                victim.job.note_stop(victim.place.task)
                search.shares[victim.job.team].give(victim.job.spec)
                saves = victim.job.spec.checkpoint_s > 0
                state.halt(victim.place, victim.job.spec.save_grace_s if saves else 0.0)
                search.stops -= 1
            log.info("job %s waits: stopping %s", job.spec.id, [v.place.part for v in found])

    def _turnover(self) -> float:
        """CPUs that running tasks give back in a second, as long as they are expected to last."""
        state = self._state
        return sum(
            len(job.open) * job.spec.cpus / max(1.0, state.expected(job))
            for job in state.jobs.values()
            if not job.standing
        )

    def make_room_under_limits(self, now: float) -> None:
        """Have services run that their team's limit keeps from it while the team runs work of lower
        priority."""
        state = self._state
        for job in state.jobs.values():
            if job.standing and job.waiting and not job.cancelled and job.not_before <= now:
                lacking = len(job.waiting) - state.shares[job.team].room(job.spec)
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
            if other.team != job.team or other.spec.priority >= spec.priority or other.standing:
                continue
            for place in other.open.values():
                if place.halting:
                    cpus, gpus = cpus - other.spec.cpus, gpus - other.spec.gpus
                    continue
                machine = state.machines[place.machine]
                loss = preemption.lost_work(other, place, now, state.expected(other))
                there = placement_rules.type_allowed(job, machine) and machine.usable
                victims.append((not there, other.spec.priority, loss, place.key, place))
        stops = 0
        for *_, place in sorted(victims, key=lambda v: v[:4]):
            if stops >= state.policy.preempt_per_round or (cpus <= EPS and gpus <= EPS):
                break
            gives = place.job.spec
            if (cpus > EPS and gives.cpus > 0) or (gpus > EPS and gives.gpus > 0):
                cpus, gpus = cpus - gives.cpus, gpus - gives.gpus
                state.halt(place, gives.save_grace_s if gives.checkpoint_s > 0 else 0.0)
                stops += 1
        if stops:
            log.info("job %s waits for its team's limit: stopping %d tasks of the team", spec.id, stops)

    def _wanting(self, queue: list[Job], now: float) -> list[_Wanting]:
        """Whose waiting work may push others out, how many tasks of it, and how many that is owed."""
        state = self._state
        kept: dict[str, int] = {}
        for machine in state.machines.values():
            if machine.kept_until > now:
                kept[machine.kept_for] = kept.get(machine.kept_for, 0) + 1
        out = []
        for job in queue:
            if not job.waiting or job.not_before > now:
                continue
            share = state.shares[job.team]
            need = min(len(job.waiting), share.room(job.spec))
            owed = 0
            if job.standing or now - job.created > state.policy.guarantee_wait_s:
                owed = share.owed(job.spec)
            if job.spec.priority < URGENT:
                # Room is taken back for the guarantee alone, not for what would be borrowed on top.
                need = min(need, owed)
            need -= kept.get(job.spec.id, 0)
            if need > 0:
                out.append(_Wanting(job, need, owed))
        return out[:JOBS_PER_SEARCH]

    def _find_victims(self, waiting: Job, search: _Search, owed: bool) -> list[list[preemption.Victim]]:
        """The stops that would make room for one task, machine by machine, the cheapest first."""
        state = self._state
        now = search.now
        counts = placement_rules.zones_open(waiting, state.zone_of)
        quiet = state.quiet_s
        out: list[tuple[float, int, list[preemption.Victim]]] = []
        for machine in self._window(placement_rules.candidates(waiting, search.machines, counts, now)):
            if waiting.standing and not placement_rules.steady(machine, now, quiet):
                continue
            found = [
                preemption.Victim(place.job, place, self._loss(place, search))
                for place in machine.open.values()
                if not place.unpreemptable
                and preemption.may_stop(waiting, place.job, search.shares, owed)
                and not (waiting.spec.priority < URGENT and self._ends_soon(place, now))
            ]
            got = preemption.victims_on(machine, waiting, found, MOST_PER_MACHINE) if found else None
            if got is None:
                continue
            cost = got[1]
            if not machine.images.get(waiting.image) and machine.type is not None:
                # The waiting task would first fetch its image there.
                cost += state.fetch_s(waiting, machine) * waiting.spec.cpus * state.policy.fetch_weight
            if waiting.standing:
                # A loss should take few replicas of a job.
                here = sum(place.job is waiting for place in machine.open.values())
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

    def _loss(self, place: Placement, search: _Search) -> float:
        """What stopping a task costs, the same for whichever job it makes room."""
        loss = search.losses.get(place)
        if loss is None:
            state = self._state
            expected = state.expected(place.job)
            loss = preemption.lost_work(place.job, place, search.now, expected)
            loss += preemption.delay_cost(place.job, place, search.now, expected, state.due_s(place.job))
            search.losses[place] = loss
        return loss

    def _ends_soon(self, place: Placement, now: float) -> bool:
        """Whether a task gives its room back by itself soon; stopping it would waste its work."""
        ran = 0.0 if place.running_since is None else now - place.running_since
        return self._state.expected(place.job) - ran < self._state.policy.guarantee_wait_s / 2
