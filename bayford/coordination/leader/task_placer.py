"""Puts waiting tasks of a job on machines, by the rules of `scheduling.placement_rules`."""

import logging
from collections.abc import Callable

from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.load_spreader import LoadSpreader
from bayford.coordination.leader.scheduling_queue import SchedulingQueue
from bayford.recovery import return_order
from bayford.scheduling import placement_rules
from bayford.scheduling.model import GANG, URGENT, Job, Machine
from bayford.spread.score import Choice

log = logging.getLogger(__name__)

NO_ROOM = "no room on an allowed machine"

MachineFilter = Callable[[Machine], bool]


class TaskPlacer:
    """Placement of one job's tasks. Called under the lock of the leader's state."""

    def __init__(self, state: LeaderState, queue: SchedulingQueue, spreader: LoadSpreader) -> None:
        self._state = state
        self._queue = queue
        self._spreader = spreader

    def place(
        self, job: Job, count: int, now: float, with_image_only: bool = False, returning: bool = False
    ) -> None:
        """Place up to `count` tasks; `with_image_only`: on machines that hold the image, or fetch it;
        `returning`: on those of zones that return, else on those of all others."""
        by_zone = job.spec.one_zone or job.spec.spread
        if by_zone and any(self._state.zone_of(p.machine) is None for p in job.open.values()):
            # After a failover there may be a machine with tasks of the job that has sent no heartbeat yet:
            # its zone is unknown, so the zone rules can't be checked.
            job.why_waiting = "zone of a running task unknown"
            return
        zone_counts = placement_rules.placements_by_zone(job, self._state.zone_of) if by_zone else {}
        # The spot machines alone are in time: let the on-demand ones run empty and go back.
        spot_only = (
            not self._state.on_demand_needed
            and job.spec.priority < URGENT
            and job.spec.spot
            and job.spot_hosts
        )

        def open_to_job(machine: Machine) -> bool:
            return (
                placement_rules.eligible(job, machine, zone_counts, now)
                and (not spot_only or machine.spot or machine.index in self._state.service_machines)
                and self._zone_open(job, machine, returning)
            )

        def may_take(machine: Machine) -> bool:
            return open_to_job(machine) and (not with_image_only or job.image in machine.images)

        with_room = self._state.capacity_index.machines
        if job.spec.shape == GANG:
            self._place_gang(job, [m for m in with_room.values() if may_take(m)], now)
        elif job.is_service:
            self._place_service(job, count, [m for m in with_room.values() if may_take(m)], now)
        elif by_zone:
            self._place_by_zone(job, count, [m for m in with_room.values() if may_take(m)], now)
        else:
            self._place_array(job, count, open_to_job, with_image_only, now)

    def _zone_open(self, job: Job, machine: Machine, returning: bool) -> bool:
        """Whether the state of its zone lets the machine take a task of the job."""
        if machine.zone in self._state.closed_zones:
            return False
        if (machine.zone in self._state.returning_zones) != returning:
            return False
        return not returning or (
            machine.index in self._state.verified_machines and return_order.fetch_allowed(job, machine)
        )

    def _place_array(
        self, job: Job, count: int, may_take: MachineFilter, with_image_only: bool, now: float
    ) -> None:
        """Tasks that go anywhere: as many machines as there are tasks are enough to choose from."""
        quota = self._state.quotas[job.team]
        count = min(count, len(job.waiting), quota.headroom(job.spec))
        if count <= 0:
            return
        if self._state.policy.spread:
            self._place_by_cost(job, count, may_take, now)
            return
        machines = self._state.capacity_index.best(job, count, may_take, with_image_only)
        starved = self._queue.is_starved(job, now)
        placed = 0
        while placed < count:
            machine = self._hinted(job, may_take) or placement_rules.first_with_room(job, machines)
            if machine is None:
                job.why_waiting = NO_ROOM
                break
            self._put(job, job.waiting.pop(), machine, now, starved)
            placed += 1
        if placed:
            log.debug("placed: job=%s tasks=%d waiting=%d", job.spec.id, placed, len(job.waiting))

    def _place_by_cost(self, job: Job, count: int, may_take: MachineFilter, now: float) -> None:
        """The same where load is spread: each task where it costs least, with those before it reserved."""
        chooser = self._spreader.chooser(job, count, may_take)
        starved = self._queue.is_starved(job, now)
        choices: list[Choice] = []
        had_image: dict[int, bool] = {}  # by machine, before the first task of the job was put there
        for _ in range(count):
            machine = self._hinted(job, may_take)
            if machine is None:
                choice = chooser.next()
                if choice is None:
                    job.why_waiting = NO_ROOM
                    break
                machine = choice.machine
                had_image.setdefault(machine.index, machine.images.get(job.image, False))
                choices.append(choice)
            self._put(job, job.waiting.pop(), machine, now, starved)
            if choices and choices[-1].machine is machine:
                chooser.placed(choices[-1])
        self._spreader.log_choices(job, choices, had_image)

    def _hinted(self, job: Job, may_take: MachineFilter) -> Machine | None:
        """The machine that a migration chose for the next task, if there is still room on it."""
        hint = job.hints.pop(job.waiting[-1], None)
        machine = None if hint is None else self._state.machines.get(hint)
        return machine if machine is not None and machine.has_room(job.spec) and may_take(machine) else None

    def _place_by_zone(self, job: Job, count: int, machines: list[Machine], now: float) -> None:
        """Tasks of an array that is bound to one zone or spread over zones: each placement changes which
        zones are open."""
        machines = placement_rules.ranked(job, machines)
        quota = self._state.quotas[job.team]
        starved = self._queue.is_starved(job, now)
        while job.waiting and count > 0 and quota.allows(job.spec):
            zone_counts = placement_rules.placements_by_zone(job, self._state.zone_of)
            machines = placement_rules.candidates(job, machines, zone_counts, now)
            hint = job.hints.pop(job.waiting[-1], None)
            hinted = [m for m in machines if m.index == hint and m.has_room(job.spec)]
            machine = hinted[0] if hinted else placement_rules.first_with_room(job, machines)
            if machine is None:
                job.why_waiting = NO_ROOM
                break
            self._put(job, job.waiting.pop(), machine, now, starved)
            count -= 1

    def _place_service(self, job: Job, count: int, machines: list[Machine], now: float) -> None:
        """Replicas one by one, since each changes which machine is best for the next."""
        max_silence_s = self._state.quiet_s
        machines = [m for m in machines if placement_rules.is_stable(m, now, max_silence_s)]
        quota = self._state.quotas[job.team]
        while job.waiting and count > 0 and quota.allows(job.spec):
            zone_counts = placement_rules.placements_by_zone(job, self._state.zone_of)
            fitting = [
                m
                for m in machines
                if m.has_room(job.spec)
                and m.zone is not None
                and placement_rules.zone_allowed(job, m.zone, zone_counts)
            ]
            if not fitting:
                job.why_waiting = NO_ROOM
                return
            hint = job.hints.pop(job.waiting[-1], None)
            best = min(
                fitting,
                key=lambda m: (
                    m.index != hint,
                    *placement_rules.replica_rank(
                        job, m, zone_counts, self._state.fetch_s(job, m), self._state.policy.spread_s
                    ),
                ),
            )
            self._put(job, job.waiting.pop(), best, now, unpreemptable=False)
            count -= 1

    def _place_gang(self, job: Job, machines: list[Machine], now: float) -> None:
        """All waiting tasks of a gang at once, in one transaction, or none."""
        chosen = placement_rules.choose_gang(job, machines, len(job.waiting))
        if chosen is None:
            job.why_waiting = "no room for the whole gang"
            return
        # One attempt number for the whole gang: its tasks find one another by it.
        attempt = self._state.next_attempt
        starved = self._queue.is_starved(job, now)
        for machine in chosen:
            self._put(job, job.waiting.pop(), machine, now, starved, attempt)

    def _put(
        self,
        job: Job,
        task: int,
        machine: Machine,
        now: float,
        unpreemptable: bool,
        attempt: int | None = None,
    ) -> None:
        """Reserve the machine for the task and have the placement written; `attempt`: a new one if None."""
        if attempt is None:
            attempt = self._state.next_attempt
        self._state.next_attempt = max(self._state.next_attempt, attempt + 1)
        placement = self._state.make_placement(job, task, attempt, machine, machine.epoch)
        self._state.book(job, machine, placement)
        self._state.touch(job, task)
        self._state.events.on_task_placed(placement)
        placement.unpreemptable = unpreemptable
        placement.placed_at = now
        job.placed_at = now
        self._state.use_image(machine, job, there=False)
        if machine.reserved_for == job.spec.id:
            machine.reserved_until = 0.0
