"""Places a job's waiting tasks on machines under the rules of `scheduling.placement_rules`."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.load_spreader import LoadSpreader
from bayford.coordination.leader.scheduling_queue import SchedulingQueue
from bayford.recovery import return_order
from bayford.scheduling import placement_rules
from bayford.scheduling.model import GANG, URGENT, Job, Machine
from bayford.scheduling.placement_rules import EXCLUDED, LAST_RESORT, PREFERRED, Suitability
from bayford.spread.score import Choice

log = logging.getLogger(__name__)

NO_ROOM = "no room on an allowed machine"
SPOT_ONLY_S = (
    60.0  # since a task of the job was placed; work that may use spot machines then takes any machine
)

MachineFilter = Callable[[Machine], bool]


MachineSuitability = Callable[[Machine], Suitability]


class Candidates(NamedTuple):
    """The machines that the tasks of a job may use now."""

    preferred: list[Machine]
    last_resorts: list[Machine]  # for when no preferred machine has room


class TaskPlacer:
    """Places the tasks of one job at a time. The caller must hold the lock of the leader's state."""

    def __init__(self, state: LeaderState, queue: SchedulingQueue, spreader: LoadSpreader) -> None:
        self._state = state
        self._queue = queue
        self._spreader = spreader

    def place(
        self, job: Job, count: int, now: float, with_image_only: bool = False, returning: bool = False
    ) -> None:
        """Place up to `count` waiting tasks of the job; a gang is placed as a whole.

        `with_image_only`: use only machines that hold or are fetching the job's image. `returning`: use only
        machines in returning zones; if false, only machines in other zones."""
        by_zone = job.spec.one_zone or job.spec.spread
        if by_zone and any(self._state.zone_of(p.machine) is None for p in job.open.values()):
            # After a failover, a machine's zone is unknown until its heartbeat; zone rules can't be checked.
            job.waiting_reason = "zone of a running task unknown"
            return
        zone_counts = placement_rules.placements_by_zone(job, self._state.zone_of) if by_zone else {}
        spot_only = self._keeps_to_spot(job, now)

        def suitability(machine: Machine) -> Suitability:
            found = placement_rules.suitability(job, machine, zone_counts, now)
            if found is EXCLUDED or self._is_offered(job, machine, spot_only, returning):
                return found
            return EXCLUDED

        if job.spec.shape != GANG and not job.is_service and not by_zone:
            self._place_array(job, count, suitability, with_image_only, now)
            return
        machines = self._find_candidates(job, suitability, with_image_only)
        if job.spec.shape == GANG:
            self._place_gang(job, machines, now)
        elif job.is_service:
            self._place_service(job, count, machines, now)
        else:
            self._place_by_zone(job, count, machines, now)

    def _find_candidates(
        self, job: Job, suitability: MachineSuitability, with_image_only: bool
    ) -> Candidates:
        """Return the machines that the job may use and that have free capacity, though maybe not enough for
        a task."""
        candidates = Candidates([], [])
        for machine in self._state.capacity_index.machines.values():
            if with_image_only and job.image not in machine.images:
                continue
            found = suitability(machine)
            if found is PREFERRED:
                candidates.preferred.append(machine)
            elif found is LAST_RESORT and not with_image_only:
                candidates.last_resorts.append(machine)
        return candidates

    def _keeps_to_spot(self, job: Job, now: float) -> bool:
        """Return whether the job's tasks are kept off on-demand machines, so that these idle and are deleted.

        That applies to work that spot machines finish in time, while tasks of the job are placed there.
        """
        return (
            not self._state.on_demand_needed
            and job.spec.priority < URGENT
            and job.spec.spot
            and job.has_spot_machines
            and now - max(job.placed_at, job.created) <= SPOT_ONLY_S
        )

    def _is_offered(self, job: Job, machine: Machine, spot_only: bool, returning: bool) -> bool:
        """Return whether the machine's kind and the state of its zone allow a task of the job there."""
        if spot_only and not machine.spot and machine.index not in self._state.service_machines:
            return False
        if machine.zone in self._state.closed_zones:
            return False
        if (machine.zone in self._state.returning_zones) != returning:
            return False
        return not returning or (
            machine.index in self._state.verified_machines and return_order.fetch_allowed(job, machine)
        )

    def _place_array(
        self, job: Job, count: int, suitability: MachineSuitability, with_image_only: bool, now: float
    ) -> None:
        """Place tasks of an array that has no zone rules. Without load spread, at most `count` preferred
        machines are considered, since no more than one machine per task is needed."""
        quota = self._state.quotas[job.team]
        count = min(count, len(job.waiting), quota.headroom(job.spec))
        if count <= 0:
            return

        def is_preferred(machine: Machine) -> bool:
            return suitability(machine) is PREFERRED

        last_resorts = [] if with_image_only else self._last_resorts(job, suitability)
        if self._state.policy.spread:
            self._place_by_cost(job, count, is_preferred, last_resorts, now)
            return
        machines = self._state.capacity_index.best(job, count, is_preferred, with_image_only)
        machines += last_resorts
        starved = self._queue.is_starved(job, now)
        placed = 0
        while placed < count:
            machine = self._take_hinted_machine(job, is_preferred) or placement_rules.first_with_room(
                job, machines
            )
            if machine is None:
                job.waiting_reason = NO_ROOM
                break
            self._assign(job, job.waiting.pop(), machine, now, starved)
            placed += 1
        if placed:
            log.debug("placed: job=%s tasks=%d waiting=%d", job.spec.id, placed, len(job.waiting))

    def _last_resorts(self, job: Job, suitability: MachineSuitability) -> list[Machine]:
        """Return the machines with room on which tasks of this array failed lately, the best first."""
        with_room = self._state.capacity_index.machines
        failed_on = [with_room[index] for index in job.failed_on if index in with_room]
        last_resorts = [machine for machine in failed_on if suitability(machine) is LAST_RESORT]
        return placement_rules.ranked(job, last_resorts)

    def _place_by_cost(
        self, job: Job, count: int, can_take: MachineFilter, last_resorts: list[Machine], now: float
    ) -> None:
        """Place tasks of an array when load spread is enabled. Each task goes to the machine with the lowest
        cost, given the capacity already reserved for the tasks before it, and to one of `last_resorts` if no
        other has room."""
        chooser = self._spreader.chooser(job, count, can_take)
        starved = self._queue.is_starved(job, now)
        choices: list[Choice] = []
        had_image: dict[int, bool] = {}  # by machine index, before the first of these tasks
        for _ in range(count):
            machine = self._take_hinted_machine(job, can_take)
            if machine is None:
                choice = chooser.next()
                if choice is not None:
                    machine = choice.machine
                    had_image.setdefault(machine.index, machine.images.get(job.image, False))
                    choices.append(choice)
            machine = machine or placement_rules.first_with_room(job, last_resorts)
            if machine is None:
                job.waiting_reason = NO_ROOM
                break
            self._assign(job, job.waiting.pop(), machine, now, starved)
            if choices and choices[-1].machine is machine:
                chooser.return_machine(choices[-1])
        self._spreader.log_choices(job, choices, had_image)

    def _take_hinted_machine(self, job: Job, can_take: MachineFilter) -> Machine | None:
        """Remove the migration hint of the next task and return the machine that it names, or None if there
        is no hint or the machine can't take the task any longer."""
        hint = job.migration_targets.pop(job.waiting[-1], None)
        machine = None if hint is None else self._state.machines.get(hint)
        return machine if machine is not None and machine.has_room(job) and can_take(machine) else None

    def _place_by_zone(self, job: Job, count: int, candidates: Candidates, now: float) -> None:
        """Place tasks of an array that is restricted to one zone or spread over zones. Each placement changes
        which zones are allowed for the next one."""
        machines = placement_rules.ranked(job, candidates.preferred)
        machines += placement_rules.ranked(job, candidates.last_resorts)
        quota = self._state.quotas[job.team]
        starved = self._queue.is_starved(job, now)
        while job.waiting and count > 0 and quota.allows(job.spec):
            zone_counts = placement_rules.placements_by_zone(job, self._state.zone_of)
            machines = placement_rules.candidates(job, machines, zone_counts, now)
            hint = job.migration_targets.pop(job.waiting[-1], None)
            hinted = [m for m in machines if m.index == hint and m.has_room(job)]
            machine = hinted[0] if hinted else placement_rules.first_with_room(job, machines)
            if machine is None:
                job.waiting_reason = NO_ROOM
                break
            self._assign(job, job.waiting.pop(), machine, now, starved)
            count -= 1

    def _place_service(self, job: Job, count: int, candidates: Candidates, now: float) -> None:
        """Place replicas of a service one by one, because each placement changes which machine is best for
        the next."""
        max_silence_s = self._state.max_heartbeat_age_s
        machines = [
            m
            for m in candidates.preferred + candidates.last_resorts
            if placement_rules.is_responsive(m, now, max_silence_s)
        ]
        quota = self._state.quotas[job.team]
        while job.waiting and count > 0 and quota.allows(job.spec):
            zone_counts = placement_rules.placements_by_zone(job, self._state.zone_of)
            fitting = [
                m
                for m in machines
                if m.has_room(job)
                and m.zone is not None
                and placement_rules.zone_allowed(job, m.zone, zone_counts)
            ]
            if not fitting:
                job.waiting_reason = NO_ROOM
                return
            hint = job.migration_targets.pop(job.waiting[-1], None)
            best = min(
                fitting,
                key=lambda m: (
                    placement_rules.is_avoided(job, m, now),
                    m.index != hint,
                    *placement_rules.replica_rank(
                        job, m, zone_counts, self._state.fetch_s(job, m), self._state.policy.spread_s
                    ),
                ),
            )
            self._assign(job, job.waiting.pop(), best, now, unpreemptable=False)
            count -= 1

    def _place_gang(self, job: Job, candidates: Candidates, now: float) -> None:
        """Place all waiting tasks of a gang in one transaction, or none of them."""
        chosen = placement_rules.choose_gang(job, candidates.preferred, len(job.waiting))
        if chosen is None and candidates.last_resorts:
            machines = candidates.preferred + candidates.last_resorts
            chosen = placement_rules.choose_gang(job, machines, len(job.waiting))
        if chosen is None:
            job.waiting_reason = "no room for the whole gang"
            return
        # All tasks of the gang share one attempt number, by which they find each other.
        attempt = self._state.next_attempt
        starved = self._queue.is_starved(job, now)
        for machine in chosen:
            self._assign(job, job.waiting.pop(), machine, now, starved, attempt)

    def _assign(
        self,
        job: Job,
        task: int,
        machine: Machine,
        now: float,
        unpreemptable: bool,
        attempt: int | None = None,
    ) -> None:
        """Reserve capacity on the machine for the task and queue the placement to be written. If `attempt` is
        None, a new attempt number is used."""
        if attempt is None:
            attempt = self._state.next_attempt
        self._state.next_attempt = max(self._state.next_attempt, attempt + 1)
        placement = self._state.make_placement(job, task, attempt, machine, machine.epoch)
        self._state.open_placement(job, machine, placement)
        self._state.mark_dirty(job, task)
        self._state.events.on_task_placed(placement)
        placement.unpreemptable = unpreemptable
        placement.placed_at = now
        job.placed_at = now
        self._state.use_image(machine, job, is_fetched=False)
        if machine.reserved_for == job.spec.id:
            machine.reserved_until = 0.0
