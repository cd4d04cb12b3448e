"""The scheduling round: place what waits, preempt, balance, drain."""

import dataclasses
import logging
import math

from bayford.coordination.owner_state import Key
from bayford.coordination.worker_reports import WorkerReports
from bayford.protocol import workers
from bayford.scheduling import placement, preemption, tempered
from bayford.scheduling.model import (
    EPS,
    GANG,
    SERVICE,
    URGENT,
    Job,
    Machine,
)
from bayford.scheduling.quota import Share

log = logging.getLogger("bayford.engine")

KEEP_S = 4.0  # how long room that was made for a job is kept for it
PREEMPT_EVERY_S = 0.25  # victims are looked for on all machines, so not in every round
PREEMPTING = 4  # jobs that room is made for at a time
NO_ROOM = "no room on an allowed machine"


class SchedulingRound(WorkerReports):
    """One round over the queue of waiting work."""

    def round(self) -> None:
        """Place what waits, then make room for what may push others out."""
        with self.lock:
            if not self.owner or not self.complete:
                return
            now = self.clock()
            for machine in self.noticed.values():
                self._drain(machine, now)
            queue = self._queue(now)
            self._make_room_under_limits(now)
            if not queue:
                return
            self._place_all(queue, now)
            waiting = list(dict.fromkeys(job for _, job, _ in queue))
            self._preempt(waiting, now)
            if now - self.balanced_at >= self.policy.balance_every_s:
                self.balanced_at = now
                self._balance(waiting, now)

    def _place_all(self, queue: list[tuple[tuple[float, ...], Job, int]], now: float) -> None:
        """Work of a round follows the room there is: when that is gone, nobody else is asked.

        In a backlog, room on a machine without a job's image is better left to a job whose image is there,
        as long as the first finds its own on enough other machines: a fetch takes as long as many a task.
        """
        roomy = [m for m in self.roomy.values() if m.usable and m.full_until <= now]
        local = self._spread_images(now) if roomy else frozenset()
        passed: list[tuple[Job, int]] = []
        for _, job, count in queue:
            if not roomy:
                job.why_waiting = NO_ROOM
                continue
            picky = job.image in local and job.spec.priority < URGENT and job.spec.shape != GANG
            if picky:
                here = [m for m in roomy if job.image in m.images]
                before = len(job.waiting)
                self._place(job, count, here, now)
                count -= before - len(job.waiting)
                if count > 0 and job.waiting:
                    passed.append((job, count))
            else:
                self._place(job, count, roomy, now)
            roomy = [m for m in roomy if m.index in self.roomy]
        for job, count in passed:
            if not roomy:
                break
            self._place(job, count, roomy, now)
            roomy = [m for m in roomy if m.index in self.roomy]

    def _spread_images(self, now: float) -> frozenset[int]:
        """Images that are on so many machines that a job may wait for room on one of them."""
        if now - self.images_at > 2.0:
            self.images_at = now
            count: dict[int, int] = {}
            machines = [m for m in self.machines.values() if m.usable]
            for machine in machines:
                for image, there in machine.images.items():
                    count[image] = count.get(image, 0) + there
            enough = self.policy.image_share * len(machines)
            self.local_images = frozenset(i for i, n in count.items() if n > enough)
        return self.local_images

    def _queue(self, now: float, turns: bool = True) -> list[tuple[tuple[float, ...], Job, int]]:
        """Jobs with waiting tasks in the order of service.

        Urgent work first; then jobs that lie within their team's guarantee, then work of teams that use less
        than theirs, then the rest; in each by priority; among equals the job with the least work left, so
        that many finish soon, with waiting time as the other weight, and after those the ones of classes
        without an aim, the longest tasks first.

        That order alone could keep a large array of low priority waiting for as long as others come. So
        before all of them goes, for a small share of its tasks, each job of which nothing was started for
        `turn_s`. What starts on a turn is pushed out by nobody. A job thus starts `turn_share` of its
        tasks at least every `turn_s` and the time until room is next given back.
        """
        out: list[tuple[tuple[float, ...], Job, int]] = []
        entitled = self._entitled()
        for job in self.jobs.values():
            if job.resting:
                job.wake(now)
            if not job.waiting or job.cancelled or job.not_before > now:
                continue
            share = self.shares[job.team]
            room = share.room(job.spec)
            if job.spec.shape == GANG and (job.open or room < len(job.waiting)):
                room = 0  # all together or not at all
            if room <= 0:
                job.why_waiting = "team limit"
                continue
            run = self.expected(job)
            age = now - job.created
            count = min(room, len(job.waiting))
            if turns and self._has_turn(job, now):
                turn = math.ceil(job.spec.tasks * self.policy.turn_share)
                out.append(((-1.0, job.created), job, min(count, turn)))
            if job.spec.priority >= URGENT:
                out.append(((0.0, 0.0, -float(job.spec.priority), self._rank(job, run, age)), job, count))
                continue
            owed = min(count, share.owed(job.spec))
            if owed and age > self.policy.guarantee_wait_s:
                out.append(((1.0, 0.0, 0.0, -age), job, owed))
            guaranteed = 1.0
            if self.policy.guarantee_first and owed:
                guaranteed = 0.0 if job.spec.id in entitled else 0.5
            # Where the users have no aim for single jobs, the longest tasks go first: begun last, they would
            # run on alone when all else is through.
            aimless = self.due_s(job) is None
            rank = -run if aimless else self._rank(job, run, age)
            order = (2.0, guaranteed, -float(job.spec.priority), float(aimless), rank)
            out.append((order, job, count))
        out.sort(key=lambda entry: entry[0])
        return out

    def _entitled(self) -> set[str]:
        """The jobs that need not wait for other teams: each fits into its team's guarantee together with the
        team's earlier unfinished jobs. Others of a team that uses less than that are served after them."""
        left = [(share.cpus, share.gpus) for share in self.shares]
        out = set()
        for job in sorted(self.jobs.values(), key=lambda j: j.created):
            spec = job.spec
            cpus, gpus = left[job.team]
            left[job.team] = cpus - spec.cpus * spec.tasks, gpus - spec.gpus * spec.tasks
            if not job.cancelled and min(left[job.team]) > -EPS:
                out.add(spec.id)
        return out

    def waiting(self, most: int = 5) -> list[str]:
        """For the log: the oldest waiting jobs and why they wait, and how the whole stands."""
        with self.lock:
            if not self.owner:
                return []
            now = self.clock()
            queue = sorted((j for j in self.jobs.values() if j.waiting), key=lambda j: j.created)
            lines = []
            for job in queue[:most]:
                why = "failed runs, next try later" if job.not_before > now else job.why_waiting
                lines.append(
                    f"job {job.spec.id} of {job.spec.team}: {len(job.waiting)} tasks wait since "
                    f"{now - job.created:.0f} s: {why or 'its turn has not come'}"
                )
            running = sum(len(m.open) for m in self.machines.values())
            reporting = sum(m.reported for m in self.machines.values())
            lines.append(
                f"{len(queue)} jobs wait, {running} tasks placed on {len(self.machines)} machines "
                f"({reporting} reporting); refusals {self.refusals}, "
                f"balancer asked {self.balance_asked}, tried {self.balance_tried}, moves {self.moves}, "
                f"starts {self.starts}"
            )
            return lines

    def _rank(self, job: Job, run: float, age: float) -> float:
        """Work left, shrinking with age: small jobs first, yet none for ever last. Of services the one that
        lacks the fewest replicas."""
        if job.standing:
            return len(job.waiting) / (1.0 + age / self.policy.aging_s)
        left = (len(job.waiting) + 0.5 * len(job.open)) * run * max(job.spec.cpus, 0.1)
        return left / (1.0 + age / self.policy.aging_s)

    def _place(self, job: Job, count: int, roomy: list[Machine], now: float) -> None:
        zoned = job.spec.one_zone or job.spec.spread
        if zoned and any(self._zone(p.machine) is None for p in job.open.values()):
            # After a takeover a machine with tasks of the job may not have been heard yet: where it
            # stands is unknown, so the zone rules can't be checked.
            job.why_waiting = "zone of a running task unknown"
            return
        counts = placement.zones_open(job, self._zone) if zoned else {}
        machines = placement.candidates(job, roomy, counts, now)
        if not self.dear_serves and job.spec.priority < URGENT and job.spec.spot and job.cheap_hosts:
            # The cheap machines alone are in time: let the dear ones run empty and go back.
            machines = [m for m in machines if m.spot or m.index in self.standing]
        if job.spec.shape == GANG:
            self._place_gang(job, machines, now)
            return
        if job.standing:
            self._place_service(job, count, machines, now)
            return
        machines = placement.ranked(job, machines)
        share = self.shares[job.team]
        placed = 0
        on_turn = self._has_turn(job, now)
        while job.waiting and placed < count and share.allows(job.spec):
            machine = placement.first(job, machines, job.hints.pop(job.waiting[-1], None))
            if machine is None:
                job.why_waiting = NO_ROOM
                break
            self._put(job, job.waiting.pop(), machine, now, on_turn)
            placed += 1
            if zoned:
                counts = placement.zones_open(job, self._zone)
                machines = placement.candidates(job, machines, counts, now)
        if placed:
            log.debug("job %s: placed %d, %d wait", job.spec.id, placed, len(job.waiting))

    def _place_service(self, job: Job, count: int, machines: list[Machine], now: float) -> None:
        """Replicas one by one, since each changes which machine is best for the next."""
        quiet = self.policy.standing_quiet * self.settings.facts.workers.report_s
        machines = [m for m in machines if placement.steady(m, now, quiet)]
        share = self.shares[job.team]
        while job.waiting and count > 0 and share.allows(job.spec):
            zones = placement.zones_open(job, self._zone)
            fit = [
                m
                for m in machines
                if m.has_room(job.spec) and m.zone is not None and placement.zone_allowed(job, m.zone, zones)
            ]
            if not fit:
                job.why_waiting = NO_ROOM
                return
            hint = job.hints.pop(job.waiting[-1], None)
            best = min(
                fit,
                key=lambda m: (
                    m.index != hint,
                    *placement.shelter(job, m, zones, self._fetch_s(job, m), self.policy.spread_s),
                ),
            )
            self._put(job, job.waiting.pop(), best, now, False)
            count -= 1

    def _fetch_s(self, job: Job, machine: Machine) -> float:
        """How long the machine fetches the job's image, if it has the whole rate for it."""
        if machine.type is None:
            return 0.0
        return job.spec.image_gb / max(self.types[machine.type].fetch_gb_per_s, 0.01)

    def _has_turn(self, job: Job, now: float) -> bool:
        """Whether the job has gone without a start for so long that it is its turn, whoever else waits."""
        return now - max(job.placed_at, job.created) > self.policy.turn_s

    def _put(
        self, job: Job, task: int, machine: Machine, now: float, on_turn: bool, attempt: int | None = None
    ) -> None:
        if attempt is None:
            attempt = self.next_attempt
        self.next_attempt = max(self.next_attempt, attempt + 1)
        place = self._placement(job, task, attempt, machine, machine.session)
        self._book(job, machine, place)
        self._touch(job, task)
        place.on_turn = on_turn
        place.placed_at = now
        job.placed_at = now
        self._use_image(machine, job, there=False)
        if machine.kept_for == job.spec.id:
            machine.kept_until = 0.0

    def _place_gang(self, job: Job, machines: list[Machine], now: float) -> None:
        """All waiting tasks of a gang at once, in one transaction, or none."""
        picks = placement.choose_gang(job, machines, len(job.waiting))
        if picks is None:
            job.why_waiting = "no room for the whole gang"
            return
        # One attempt number for the whole gang: its tasks come together by it.
        attempt = self.next_attempt
        on_turn = self._has_turn(job, now)
        for machine in picks:
            self._put(job, job.waiting.pop(), machine, now, on_turn, attempt)

    def _preempt(self, queue: list[Job], now: float) -> None:
        """Stop the cheapest tasks for waiting work that PROTOCOL lets push them out."""
        if now < self.preempt_at:
            return
        wanting = self._wanting(queue, now)
        if not wanting:
            return
        self.preempt_at = now + PREEMPT_EVERY_S
        budget = self.policy.preempt_per_round
        after = [dataclasses.replace(share) for share in self.shares]  # once the stops are through
        busy = set()
        for place in self.halting:
            after[place.job.team].give(place.job.spec)
            busy.add(place.machine)
        # What tasks give back by themselves in a moment needs no stops.
        given = self.policy.preempt_wait_s * self._turnover()
        machines = [m for m in self.machines.values() if not m.relay and m.index not in busy]
        for job, need, owed in wanting:
            if now - job.created < 2.0 * self.policy.preempt_wait_s and not job.standing:
                soon = min(need, int(given / max(job.spec.cpus, 0.1)))
                given -= soon * job.spec.cpus
                need -= soon
            if need <= 0:
                continue
            for found in self._find_victims(job, machines, now, after, owed > 0):
                if need <= 0 or budget <= 0:
                    break
                if any(v.place.halting for v in found):
                    continue  # the machine has been taken for a job before this one
                if not all(preemption.may_stop(job, v.job, after, owed > 0) for v in found):
                    continue
                # Else smaller tasks would take what is free there already, and the stop was for nothing.
                machine = self.machines[found[0].place.machine]
                machine.kept_for, machine.kept_until = job.spec.id, now + KEEP_S
                owed -= 1
                need -= 1
                for victim in found:
                    victim.job.note_stop(victim.place.task)
                    after[victim.job.team].give(victim.job.spec)
                    saves = victim.job.spec.checkpoint_s > 0
                    self._halt(victim.place, victim.job.spec.save_s * 1.5 if saves else 0.0)
                    budget -= 1
                log.info("job %s waits: stopping %s", job.spec.id, [v.place.part for v in found])

    def _turnover(self) -> float:
        """CPUs that running tasks give back in a second, as long as they are expected to last."""
        return sum(
            len(job.open) * job.spec.cpus / max(1.0, self.expected(job))
            for job in self.jobs.values()
            if not job.standing
        )

    def _make_room_under_limits(self, now: float) -> None:
        """Have services run that their team's limit keeps from it while the team runs work of lower
        priority."""
        for job in self.jobs.values():
            if job.standing and job.waiting and not job.cancelled and job.not_before <= now:
                lacking = len(job.waiting) - self.shares[job.team].room(job.spec)
                if lacking > 0:
                    self._stop_own_work_for(job, lacking, now)

    def _stop_own_work_for(self, job: Job, need: int, now: float) -> None:
        """Stop work of the same team and of lower priority until `need` replicas fit under the team's limit:
        first what runs where a replica may go, of that what loses least. What stops already counts."""
        spec = job.spec
        cpus, gpus = need * spec.cpus, need * spec.gpus
        victims = []
        for other in self.jobs.values():
            if other.team != job.team or other.spec.priority >= spec.priority or other.standing:
                continue
            for place in other.open.values():
                if place.halting:
                    cpus, gpus = cpus - other.spec.cpus, gpus - other.spec.gpus
                    continue
                machine = self.machines[place.machine]
                loss = preemption.lost_work(other, place, now, self.expected(other))
                there = placement.type_allowed(job, machine) and machine.usable
                victims.append((not there, other.spec.priority, loss, place.key, place))
        stops = 0
        for *_, place in sorted(victims, key=lambda v: v[:4]):
            if stops >= self.policy.preempt_per_round or (cpus <= EPS and gpus <= EPS):
                break
            gives = place.job.spec
            if (cpus > EPS and gives.cpus > 0) or (gpus > EPS and gives.gpus > 0):
                cpus, gpus = cpus - gives.cpus, gpus - gives.gpus
                self._halt(place, gives.save_s * 1.5 if gives.checkpoint_s > 0 else 0.0)
                stops += 1
        if stops:
            log.info("job %s waits for its team's limit: stopping %d tasks of the team", spec.id, stops)

    def _wanting(self, queue: list[Job], now: float) -> list[tuple[Job, int, int]]:
        """Whose waiting work may push others out, how many tasks of it, and how many that is owed."""
        kept: dict[str, int] = {}
        for machine in self.machines.values():
            if machine.kept_until > now:
                kept[machine.kept_for] = kept.get(machine.kept_for, 0) + 1
        out = []
        for job in queue:
            if not job.waiting or job.not_before > now:
                continue
            share = self.shares[job.team]
            need = min(len(job.waiting), share.room(job.spec))
            owed = 0
            if job.standing or now - job.created > self.policy.guarantee_wait_s:
                owed = share.owed(job.spec)
            if job.spec.priority < URGENT:
                # Room is taken back for the guarantee alone, not for what would be borrowed on top.
                need = min(need, owed)
            need -= kept.get(job.spec.id, 0)
            if need > 0:
                out.append((job, need, owed))
        return out[:PREEMPTING]

    def _find_victims(
        self, waiting: Job, machines: list[Machine], now: float, after: list[Share], owed: bool
    ) -> list[list[preemption.Victim]]:
        """The stops that would make room for one task, machine by machine, the cheapest first."""
        counts = placement.zones_open(waiting, self._zone)
        quiet = self.policy.standing_quiet * self.settings.facts.workers.report_s
        out: list[tuple[float, int, list[preemption.Victim]]] = []
        for machine in placement.candidates(waiting, machines, counts, now):
            if waiting.standing and not placement.steady(machine, now, quiet):
                continue
            found = []
            for place in machine.open.values():
                job = place.job
                if not place.on_turn and preemption.may_stop(waiting, job, after, owed):
                    expected = self.expected(job)
                    ran = 0.0 if place.running_since is None else now - place.running_since
                    if waiting.spec.priority < URGENT and expected - ran < self.policy.guarantee_wait_s / 2:
                        continue  # it gives the room back by itself soon; stopping it wastes its work
                    loss = preemption.lost_work(job, place, now, expected)
                    loss += preemption.delay_cost(job, place, now, expected, self.due_s(job))
                    found.append(preemption.Victim(job, place, loss))
            got = preemption.victims_on(machine, waiting, found, 4) if found else None
            if got is None:
                continue
            cost = got[1]
            if not machine.images.get(waiting.image) and machine.type is not None:
                # The waiting task would first fetch its image there.
                cost += self._fetch_s(waiting, machine) * waiting.spec.cpus * self.policy.fetch_weight
            if waiting.standing:
                # A loss should take few replicas of a job.
                here = sum(place.job is waiting for place in machine.open.values())
                cost += self.policy.spread_s * here * waiting.spec.cpus * self.policy.fetch_weight
            out.append((cost, machine.index, got[0]))
        out.sort(key=lambda entry: entry[:2])
        return [found for _, _, found in out]

    def _balance(self, queue: list[Job], now: float) -> None:
        """The paper's balancer: move running tasks off a machine to free the room that a waiting task
        needs there, when it fits on no machine. Moves are stops with a hint where to go on."""
        if self.halting:
            return  # room is being made as it is
        waiting = [
            job
            for job in queue
            if job.waiting
            and job.spec.shape != GANG
            and job.not_before <= now
            and self.shares[job.team].allows(job.spec)
        ]
        if not waiting:
            return
        # Room that is being made for a job, or that a worker just refused, is not there for others.
        usable = [
            m
            for m in self.machines.values()
            if m.usable and not m.relay and m.kept_until <= now and m.full_until <= now
        ]
        self.balance_asked += 1
        free = sum(m.free_cpus for m in usable)
        running = sum(len(m.open) for m in self.machines.values())
        left = tempered.budget(running, self.policy.balance_share)
        hosts: dict[int, tempered.Host] = {}
        for job in waiting[: self.policy.balance_jobs]:
            if free + EPS < job.spec.cpus:
                continue  # a move shifts room and makes none: so much is not left in the whole fleet
            hosts = hosts or {m.index: self._host(m) for m in usable}
            plan = self._plan(job, left, usable, hosts, now)
            if plan is None:
                continue
            # Else the task moved away may be first in the queue and come straight back.
            source = self.machines[plan.source]
            saving = max(source.open[m.key].job.spec.save_s for m in plan.moves)
            source.kept_for, source.kept_until = job.spec.id, now + KEEP_S + saving
            for move in plan.moves:
                place = self.machines[plan.source].open[move.key]
                place.job.hints[place.task] = move.target
                self._halt(place, place.job.spec.save_s * 1.5)
            self.moves += len(plan.moves)
            log.info(
                "job %s fits nowhere: moving %s off %s (imbalance then %.2f)", job.spec.id,
                [m.key[0] for m in plan.moves], self.machines_by[plan.source], plan.imbalance,
            )  # fmt: skip
            return  # the picture has changed

    def _plan(
        self, job: Job, moves: int, usable: list[Machine], hosts: dict[int, tempered.Host], now: float
    ) -> tempered.Plan | None:
        spec = job.spec
        counts = placement.zones_open(job, self._zone)
        allowed = placement.candidates(job, usable, counts, now)
        if any(m.has_room(spec) for m in allowed):
            return None  # it fits as it is and is about to be placed
        self.balance_tried += 1
        need = (spec.cpus, spec.gpus, spec.mem_gb)
        sources = []
        for machine in allowed:
            host = hosts[machine.index]
            room = host.free
            for item in host.items:
                room = tempered.add(room, item.need)
            if host.items and tempered.fits(need, room):
                sources.append((spec.cpus - machine.free_cpus, machine.index))
        best: tempered.Plan | None = None
        counts_ = tempered.Counts(self.policy.balance_trials, self.policy.balance_iterations, moves)

        def allowed_(key: Key, target: int) -> bool:
            # A service is not interrupted for work that may wait: only for another of its rank or above.
            moved = self.jobs[(workers.split_task(key[0]) or ("", 0))[0]]
            return (not moved.standing or spec.priority >= moved.spec.priority) and self._may_move(
                key, target
            )

        for _, index in sorted(sources)[: self.policy.balance_sources]:
            plan = tempered.free_room(list(hosts.values()), index, need, counts_, allowed_, self.rng)
            if plan is not None and (best is None or plan.imbalance < best.imbalance):
                best = plan
        return best

    def _host(self, machine: Machine) -> tempered.Host:
        items = []
        for place in machine.open.values():
            spec = place.job.spec
            movable = spec.shape == SERVICE or (spec.checkpoint_s > 0 and spec.shape != GANG)
            if movable and place.running_since is not None and not place.halting:
                items.append(tempered.Item(place.key, (spec.cpus, spec.gpus, spec.mem_gb)))
        free = (machine.free_cpus, machine.free_gpus, machine.free_mem)
        return tempered.Host(machine.index, machine.cpus, free, items)

    def _may_move(self, key: Key, target: int) -> bool:
        """Whether the task's job allows the target, the task itself gone from where it is."""
        job_id, task = workers.split_task(key[0]) or ("", 0)
        job, machine = self.jobs[job_id], self.machines[target]
        here = self._zone(job.open[task].machine)
        counts = placement.zones_open(job, self._zone)
        if here is not None:
            counts[here] -= 1
            if not counts[here]:
                del counts[here]
        if job.standing and not self._may_move_replica(job, machine):
            return False
        return (
            machine.zone is not None
            and machine.index not in job.failed_on
            and placement.type_allowed(job, machine)
            and placement.zone_allowed(job, machine.zone, counts)
        )

    def _may_move_replica(self, job: Job, machine: Machine) -> bool:
        """A move is a gap in the service: to a machine that has the image and no replica, one of a job at a
        time, and only while all its others run."""
        return (
            bool(machine.images.get(job.image))
            and not job.waiting
            and not job.resting
            and not any(place.job is job for place in machine.open.values())
            and not any(p.halting or p.running_since is None for p in job.open.values())
        )

    def _drain(self, machine: Machine, now: float) -> None:
        """A spot notice: save what can be saved in time, give up early on what can't finish."""
        left = (machine.notice or now) - now
        report_s = self.settings.facts.workers.report_s
        for place in machine.open.values():
            if place.halting:
                continue
            job = place.job
            save = job.spec.save_s * 1.5 + 1.5 * report_s + 1.0 if job.spec.checkpoint_s else 0.0
            ran = 0.0 if place.running_since is None else now - place.running_since
            ends_in = max(0.0, self.expected(job) - ran)
            if job.spec.checkpoint_s:
                if left <= save + 1.0:
                    self._halt(place, job.spec.save_s * 1.5)
            elif ends_in > left * 1.5:
                self._halt(place, 0.0)
