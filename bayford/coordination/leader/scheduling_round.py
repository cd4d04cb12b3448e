"""The scheduling round: place what waits, preempt, balance, drain."""

import dataclasses
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from bayford.coordination.leader.balancer import Balancer
from bayford.coordination.leader.leader_state import LeaderState
from bayford.coordination.leader.load_spreader import LoadSpreader
from bayford.coordination.leader.migrator import Migrator
from bayford.coordination.leader.preemptor import Preemptor
from bayford.recovery import return_order
from bayford.scheduling import placement_rules
from bayford.scheduling.model import EPS, GANG, URGENT, Job, Machine
from bayford.spread.score import Choice

log = logging.getLogger("bayford.engine")

NO_ROOM = "no room on an allowed machine"


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A job's place in the order of service; the smallest `order` is served first."""

    order: tuple[float, ...]
    job: Job
    count: int  # how many of its tasks may be placed at this place of the queue


class SchedulingRound:
    """One round over the queue of waiting work. Takes the lock of the leader's state by itself."""

    def __init__(self, state: LeaderState) -> None:
        self._state = state
        self.preemptor = Preemptor(state)
        self.migrator = Migrator(state)
        self.balancer = Balancer(state, self.migrator)
        self.spreader = LoadSpreader(state, self.balancer, self.migrator)

    def round(self) -> None:
        """Place what waits, then make room for what may push others out."""
        with self._state.lock:
            if not self._state.leader or not self._state.complete:
                return
            now = self._state.clock()
            for machine in self._state.reclaim_pending.values():
                self._drain(machine, now)
            queue = self.queue(now)
            self.preemptor.make_room_under_limits(now)
            if not queue:
                self.spreader.step(False, now)
                return
            self._place_all(queue, now)
            waiting = list(dict.fromkeys(entry.job for entry in queue))
            self.preemptor.make_room(waiting, now)
            if now - self._state.balanced_at >= self._state.policy.balance_every_s:
                self._state.balanced_at = now
                self.balancer.free_room(waiting, now)
            self.spreader.step(any(job.waiting for job in waiting), now)

    def _place_all(self, queue: list[QueueEntry], now: float) -> None:
        """Work of a round follows the room there is: when that is gone, nobody else is asked.

        In a backlog, room on a machine without a job's image is better left to a job whose image is there,
        as long as the first finds its own on enough other machines: a fetch takes as long as many a task.
        """
        if self._state.returning_zones:
            queue = self._place_returning(queue, now)
        local = self._spread_images(now) if self._state.capacity_index else frozenset()
        passed: list[tuple[Job, int]] = []
        for entry in queue:
            job, count = entry.job, entry.count
            if not self._state.capacity_index:
                job.why_waiting = NO_ROOM
                continue
            # Where load is spread, the cost of a fetch decides against the load instead.
            back_off = (
                not self._state.policy.spread
                and job.image in local
                and job.spec.priority < URGENT
                and job.spec.shape != GANG
            )
            before = len(job.waiting)
            self._place(job, count, now, with_image_only=back_off)
            count -= before - len(job.waiting)
            if back_off and count > 0 and job.waiting:
                passed.append((job, count))
        for job, count in passed:
            if not self._state.capacity_index:
                break
            self._place(job, count, now)

    def _place_returning(self, queue: list[QueueEntry], now: float) -> list[QueueEntry]:
        """Offer the room of zones that return in the operators' order; what is left of the queue.

        A class further down is offered what those above it leave. Each machine fetches one image at a time.
        """
        order = self._state.policy.return_order
        left = {}
        for entry in sorted(queue, key=lambda entry: return_order.rank(entry.job, order)):
            before = len(entry.job.waiting)
            if before and self._state.capacity_index:
                self._place(entry.job, entry.count, now, returning=True)
            left[entry.order, entry.job.spec.id] = entry.count - (before - len(entry.job.waiting))
        counted = [dataclasses.replace(e, count=left[e.order, e.job.spec.id]) for e in queue]
        return [entry for entry in counted if entry.count > 0 and entry.job.waiting]

    def _spread_images(self, now: float) -> frozenset[int]:
        """Images that are on so many machines that a job may wait for room on one of them."""
        if now - self._state.images_at > 2.0:
            self._state.images_at = now
            count: dict[int, int] = {}
            machines = [m for m in self._state.machines.values() if m.usable]
            for machine in machines:
                for image, there in machine.images.items():
                    count[image] = count.get(image, 0) + there
            enough = self._state.policy.image_share * len(machines)
            self._state.local_images = frozenset(i for i, n in count.items() if n > enough)
        return self._state.local_images

    def queue(self, now: float, turns: bool = True) -> list[QueueEntry]:
        """Jobs with waiting tasks in the order of service. Called under the lock.

        Urgent work first; then jobs that lie within their team's guarantee, then work of teams that use less
        than theirs, then the rest; in each by priority; among equals the job with the least work left, so
        that many finish soon, with waiting time as the other weight, and after those the ones of classes
        without an aim, the longest tasks first.

        That order alone could keep a large array of low priority waiting for as long as others come. So
        before all of them goes, for a small share of its tasks, each job of which nothing was started for
        `turn_s`. What starts on a turn is pushed out by nobody. A job thus starts `turn_share` of its
        tasks at least every `turn_s` and the time until room is next given back.
        """
        out: list[QueueEntry] = []
        within_guarantee = self._within_guarantee()
        for job in self._state.jobs.values():
            if job.backing_off:
                job.requeue_backed_off(now)
            if not job.waiting or job.cancelled or job.not_before > now:
                continue
            share = self._state.quotas[job.team]
            room = share.headroom(job.spec)
            if job.spec.shape == GANG and (job.open or room < len(job.waiting)):
                room = 0  # all together or not at all
            if room <= 0:
                job.why_waiting = "team limit"
                continue
            run = self._state.expected(job)
            age = now - job.created
            count = min(room, len(job.waiting))
            if turns and self._is_starved(job, now):
                turn = math.ceil(job.spec.tasks * self._state.policy.turn_share)
                out.append(QueueEntry((-1.0, job.created), job, min(count, turn)))
            if job.spec.priority >= URGENT:
                order: tuple[float, ...] = (0.0, 0.0, -float(job.spec.priority), self._rank(job, run, age))
                out.append(QueueEntry(order, job, count))
                continue
            unmet_guarantee = min(count, share.unmet_guarantee(job.spec))
            if unmet_guarantee and age > self._state.policy.guarantee_wait_s:
                out.append(QueueEntry((1.0, 0.0, 0.0, -age), job, unmet_guarantee))
            guaranteed = 1.0
            if self._state.policy.guarantee_first and unmet_guarantee:
                guaranteed = 0.0 if job.spec.id in within_guarantee else 0.5
            # Where the users have no aim for single jobs, the longest tasks go first: begun last, they would
            # run on alone when all else is through.
            aimless = self._state.due_s(job) is None
            rank = -run if aimless else self._rank(job, run, age)
            order = (2.0, guaranteed, -float(job.spec.priority), float(aimless), rank)
            out.append(QueueEntry(order, job, count))
        out.sort(key=lambda entry: entry.order)
        return out

    def _within_guarantee(self) -> set[str]:
        """The jobs that need not wait for other teams: each fits into its team's guarantee together with the
        team's earlier unfinished jobs. Others of a team that uses less than that are served after them."""
        left = [(share.cpus, share.gpus) for share in self._state.quotas]
        out = set()
        for job in sorted(self._state.jobs.values(), key=lambda j: j.created):
            spec = job.spec
            cpus, gpus = left[job.team]
            left[job.team] = cpus - spec.cpus * spec.tasks, gpus - spec.gpus * spec.tasks
            if not job.cancelled and min(left[job.team]) > -EPS:
                out.add(spec.id)
        return out

    def waiting(self, most: int = 5) -> list[str]:
        """For the log: the oldest waiting jobs and why they wait, and how the whole stands."""
        with self._state.lock:
            if not self._state.leader:
                return []
            now = self._state.clock()
            queue = sorted((j for j in self._state.jobs.values() if j.waiting), key=lambda j: j.created)
            lines = []
            for job in queue[:most]:
                why = "failed runs, next try later" if job.not_before > now else job.why_waiting
                lines.append(
                    f"job {job.spec.id} of {job.spec.team}: {len(job.waiting)} tasks wait since "
                    f"{now - job.created:.0f} s: {why or 'its turn has not come'}"
                )
            running = sum(len(m.open) for m in self._state.machines.values())
            reporting = sum(m.registered for m in self._state.machines.values())
            state = self._state
            lines.append(
                f"{len(queue)} jobs wait, {running} tasks placed on {len(state.machines)} machines "
                f"({reporting} reporting); refusals {state.refusals}, "
                f"balancer asked {state.balance_asked}, tried {state.balance_tried}, moves {state.moves}, "
                f"starts {state.starts}"
            )
            return lines

    def _rank(self, job: Job, run: float, age: float) -> float:
        """Work left, shrinking with age: small jobs first, yet none for ever last. Of services the one that
        lacks the fewest replicas."""
        if job.is_service:
            return len(job.waiting) / (1.0 + age / self._state.policy.aging_s)
        left = (len(job.waiting) + 0.5 * len(job.open)) * run * max(job.spec.cpus, 0.1)
        return left / (1.0 + age / self._state.policy.aging_s)

    def _place(
        self, job: Job, count: int, now: float, with_image_only: bool = False, returning: bool = False
    ) -> None:
        """Place up to `count` tasks; `with_image_only`: on machines that hold the image, or fetch it;
        `returning`: on those of zones that return, else on those of all others."""
        zoned = job.spec.one_zone or job.spec.spread
        if zoned and any(self._state.zone_of(p.machine) is None for p in job.open.values()):
            # After a failover a machine with tasks of the job may not have been heard yet: where it
            # stands is unknown, so the zone rules can't be checked.
            job.why_waiting = "zone of a running task unknown"
            return
        counts = placement_rules.zones_open(job, self._state.zone_of) if zoned else {}
        # The spot machines alone are in time: let the on-demand ones run empty and go back.
        cheap_only = (
            not self._state.on_demand_needed
            and job.spec.priority < URGENT
            and job.spec.spot
            and job.spot_hosts
        )

        def open_to_job(machine: Machine) -> bool:
            return (
                placement_rules.eligible(job, machine, counts, now)
                and (not cheap_only or machine.spot or machine.index in self._state.service_machines)
                and self._zone_open(job, machine, returning)
            )

        def may_take(machine: Machine) -> bool:
            return open_to_job(machine) and (not with_image_only or job.image in machine.images)

        roomy = self._state.capacity_index.machines
        if job.spec.shape == GANG:
            self._place_gang(job, [m for m in roomy.values() if may_take(m)], now)
        elif job.is_service:
            self._place_service(
                job, count, [m for m in self._state.capacity_index.machines.values() if may_take(m)], now
            )
        elif zoned:
            self._place_zoned(job, count, [m for m in roomy.values() if may_take(m)], now)
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
        self, job: Job, count: int, may_take: Callable[[Machine], bool], with_image_only: bool, now: float
    ) -> None:
        """Tasks that go anywhere: as many machines as there are tasks are enough to choose from."""
        share = self._state.quotas[job.team]
        wanted = min(count, len(job.waiting), share.headroom(job.spec))
        if wanted <= 0:
            return
        if self._state.policy.spread:
            self._place_by_cost(job, wanted, may_take, now)
            return
        machines = self._state.capacity_index.best(job, wanted, may_take, with_image_only)
        starved = self._is_starved(job, now)
        placed = 0
        while placed < wanted:
            machine = self._hinted(job, may_take) or placement_rules.first(job, machines)
            if machine is None:
                job.why_waiting = NO_ROOM
                break
            self._put(job, job.waiting.pop(), machine, now, starved)
            placed += 1
        if placed:
            log.debug("job %s: placed %d, %d wait", job.spec.id, placed, len(job.waiting))

    def _place_by_cost(self, job: Job, count: int, may_take: Callable[[Machine], bool], now: float) -> None:
        """The same where load is spread: each task where it costs least, with those before it booked."""
        chooser = self.spreader.chooser(job, count, may_take)
        starved = self._is_starved(job, now)
        choices: list[Choice] = []
        held: dict[int, bool] = {}
        for _ in range(count):
            machine = self._hinted(job, may_take)
            if machine is None:
                choice = chooser.next()
                if choice is None:
                    job.why_waiting = NO_ROOM
                    break
                machine = choice.machine
                held.setdefault(machine.index, machine.images.get(job.image, False))
                choices.append(choice)
            self._put(job, job.waiting.pop(), machine, now, starved)
            if choices and choices[-1].machine is machine:
                chooser.placed(choices[-1])
        self.spreader.log_choices(job, choices, held)

    def _hinted(self, job: Job, may_take: Callable[[Machine], bool]) -> Machine | None:
        """The machine that the balancer chose for the next task, if there is room on it still."""
        hint = job.hints.pop(job.waiting[-1], None)
        machine = None if hint is None else self._state.machines.get(hint)
        return machine if machine is not None and machine.has_room(job.spec) and may_take(machine) else None

    def _place_zoned(self, job: Job, count: int, machines: list[Machine], now: float) -> None:
        """Tasks of an array that is bound together or apart: each placement changes which zones are open."""
        machines = placement_rules.ranked(job, machines)
        share = self._state.quotas[job.team]
        starved = self._is_starved(job, now)
        while job.waiting and count > 0 and share.allows(job.spec):
            counts = placement_rules.zones_open(job, self._state.zone_of)
            machines = placement_rules.candidates(job, machines, counts, now)
            hint = job.hints.pop(job.waiting[-1], None)
            hinted = [m for m in machines if m.index == hint and m.has_room(job.spec)]
            machine = hinted[0] if hinted else placement_rules.first(job, machines)
            if machine is None:
                job.why_waiting = NO_ROOM
                break
            self._put(job, job.waiting.pop(), machine, now, starved)
            count -= 1

    def _place_service(self, job: Job, count: int, machines: list[Machine], now: float) -> None:
        """Replicas one by one, since each changes which machine is best for the next."""
        quiet = self._state.quiet_s
        machines = [m for m in machines if placement_rules.steady(m, now, quiet)]
        share = self._state.quotas[job.team]
        while job.waiting and count > 0 and share.allows(job.spec):
            zones = placement_rules.zones_open(job, self._state.zone_of)
            fit = [
                m
                for m in machines
                if m.has_room(job.spec)
                and m.zone is not None
                and placement_rules.zone_allowed(job, m.zone, zones)
            ]
            if not fit:
                job.why_waiting = NO_ROOM
                return
            hint = job.hints.pop(job.waiting[-1], None)
            best = min(
                fit,
                key=lambda m: (
                    m.index != hint,
                    *placement_rules.replica_rank(
                        job, m, zones, self._state.fetch_s(job, m), self._state.policy.spread_s
                    ),
                ),
            )
            self._put(job, job.waiting.pop(), best, now, False)
            count -= 1

    def _is_starved(self, job: Job, now: float) -> bool:
        """Whether the job has gone without a start for so long that it is its turn, whoever else waits."""
        return now - max(job.placed_at, job.created) > self._state.policy.turn_s

    def _put(
        self, job: Job, task: int, machine: Machine, now: float, starved: bool, attempt: int | None = None
    ) -> None:
        if attempt is None:
            attempt = self._state.next_attempt
        self._state.next_attempt = max(self._state.next_attempt, attempt + 1)
        placement = self._state.make_placement(job, task, attempt, machine, machine.epoch)
        self._state.book(job, machine, placement)
        self._state.touch(job, task)
        self._state.events.on_task_placed(placement)
        placement.unpreemptable = starved
        placement.placed_at = now
        job.placed_at = now
        self._state.use_image(machine, job, there=False)
        if machine.reserved_for == job.spec.id:
            machine.reserved_until = 0.0

    def _place_gang(self, job: Job, machines: list[Machine], now: float) -> None:
        """All waiting tasks of a gang at once, in one transaction, or none."""
        picks = placement_rules.choose_gang(job, machines, len(job.waiting))
        if picks is None:
            job.why_waiting = "no room for the whole gang"
            return
        # One attempt number for the whole gang: its tasks come together by it.
        attempt = self._state.next_attempt
        starved = self._is_starved(job, now)
        for machine in picks:
            self._put(job, job.waiting.pop(), machine, now, starved, attempt)

    def _drain(self, machine: Machine, now: float) -> None:
        """A spot notice: save what can be saved in time, give up early on what can't finish."""
        left = (machine.reclaim_at or now) - now
        heartbeat_interval_s = self._state.settings.facts.workers.heartbeat_interval_s
        for placement in machine.open.values():
            if placement.stopping:
                continue
            job = placement.job
            save = (
                job.spec.checkpoint_grace_s + 1.5 * heartbeat_interval_s + 1.0
                if job.spec.checkpoint_interval_s
                else 0.0
            )
            ran = 0.0 if placement.running_since is None else now - placement.running_since
            ends_in = max(0.0, self._state.expected(job) - ran)
            if job.spec.checkpoint_interval_s:
                if left <= save + 1.0:
                    self._state.stop(placement, job.spec.checkpoint_grace_s)
            elif ends_in > left * 1.5:
                self._state.stop(placement, 0.0)
