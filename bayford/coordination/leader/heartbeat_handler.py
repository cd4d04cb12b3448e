"""What workers tell the owner, and what they are answered."""

import logging

from bayford.clock import NEVER
from bayford.coordination.leader.leader_state import Key, OwnerState
from bayford.coordination.leadership.transfer import WorkerContact
from bayford.protocol import workers
from bayford.scheduling.model import EPS, GANG, SERVICE, Job, Machine, Placement

log = logging.getLogger("bayford.engine")

ANSWER_S = 4.5  # a worker drops answers that come later than 4 s
DEAF_ANSWERS = 3  # so many answers in a row of which nothing shows
DEAF_LAPSES = 2
RUNS_S = 5.0  # a task that has run for so long is no failure
STEADY_S = 30.0  # a replica of a service that ran for so long begins anew
REST_S = 30.0  # and one that ends at every start waits for so long at the most


class WorkerReports:
    """Reports in, orders out. Takes the lock of the owner's state by itself."""

    def __init__(self, state: OwnerState) -> None:
        self._state = state

    def on_report(
        self, report: workers.Report, after: float = NEVER, relay: str = "", asked: bool = False
    ) -> int | None:
        """Take a report in; its machine's index, or None if a newer one was here before.

        `after` is a moment before which the report was certainly not sent: the answer to the report
        before it on the same connection. Reports may be minutes late, and only this tells. `asked`: it is
        the answer to a direct command, and an answer of ours may still be on its way.
        """
        with self._state.lock:
            if not self._state.owner or not self._state.complete or report.machine in self._state.gone:
                return None
            now = self._state.clock()
            machine = self._state.machine_named(report.machine, now)
            order = (report.session, report.tick)
            if order <= (machine.session, machine.tick) and machine.reported:
                # Overtaken, by an answer of /commands perhaps: it tells nothing, but it can be answered.
                return machine.index if report.session == machine.session else None
            self._state.last_report = now
            if report.session > machine.session:
                self._new_session(machine, report.session, now)
            seen = {(state.part, state.attempt): state.phase for state in report.tasks}
            if not asked and not relay:
                self._heeds(machine, seen)
            self._note_heard(machine, report, relay, now)
            for state in report.tasks:
                place = machine.open.get((state.part, state.attempt))
                if place is not None:
                    self._on_task(machine, place, state, now)
            self._state.seen[machine.index] = seen
            self._close_unstarted(machine, seen, after)
            if not machine.open and machine.idle_since <= 0:
                machine.idle_since = now
            return machine.index

    def _note_heard(self, machine: Machine, report: workers.Report, relay: str, now: float) -> None:
        if report.token >= self._state.token:
            # Whoever says our token was answered in this term. A late copy, or a machine that we do not
            # reach, never does, and gets no work.
            machine.echoed = True
        machine.tick = report.tick
        machine.heard = now
        machine.relay = relay
        if relay:
            machine.answered = now  # by the relay, a moment ago
        if not machine.reported:
            self._first_report(machine, report, now)
        if report.notice_s is not None:
            if machine.notice is None:
                log.info("machine %s: taken by the cloud in %.0f s", machine.name, report.notice_s)
            machine.notice = now + report.notice_s
            self._state.noticed[machine.index] = machine

    def _first_report(self, machine: Machine, report: workers.Report, now: float) -> None:
        machine.reported = True
        machine.address = report.address
        machine.zone = self._state.zones.index(report.zone)
        machine.spot = report.spot
        machine.idle_since = now
        self._state.learn_type(machine, report.type)
        self._state.room.update(machine)

    def _new_session(self, machine: Machine, session: int, now: float) -> None:
        """The worker's lease ran out: it has killed and forgotten all tasks of earlier sessions."""
        facts = self._state.settings.facts.workers
        if machine.reported and now - machine.answered < facts.lease_s - ANSWER_S:
            # Its lease ran out although it was answered well within it: it may not hear us.
            machine.lapses += 1
            if machine.lapses >= DEAF_LAPSES:
                self._deaf(machine, f"{machine.lapses} leases ran out although it was answered")
        machine.ordered.clear()
        lost = [p for p in machine.open.values() if p.session < session]
        if machine.reported and lost:
            log.info("machine %s: session %d, %d tasks lost", machine.name, session, len(lost))
        machine.session = session
        machine.tick = -1
        self._state.seen[machine.index] = {}
        for place in lost:
            self._state.close(machine, place, now)
            place.job.requeue(place.task)

    def _heeds(self, machine: Machine, seen: dict[Key, str]) -> None:
        """Whether anything of the last answer shows. A worker has one report in flight, so this one was
        sent after that answer came, or never will."""
        if not machine.ordered:
            return
        heeded = False
        for part, attempt, verb in machine.ordered:
            phase = seen.get((part, attempt))
            if verb == workers.START:
                heeded = heeded or phase is not None
            elif verb == workers.REAP:
                heeded = heeded or phase is None
            else:
                heeded = heeded or phase not in (workers.RUNNING, workers.FETCHING, workers.GATHERING)
        machine.ordered.clear()
        if heeded:
            machine.unheeded = machine.lapses = 0
            return
        machine.unheeded += 1
        if machine.unheeded >= DEAF_ANSWERS:
            self._deaf(machine, f"nothing of {machine.unheeded} answers shows")

    def _deaf(self, machine: Machine, why: str) -> None:
        """A machine that is heard and does not hear: no more work, and another in its place. What it has
        counts as there until its deletion is confirmed."""
        others = sum(m.reported for m in self._state.machines.values())
        doubted = sum(m.unheeded > 0 or m.lapses > 0 for m in self._state.machines.values())
        if machine.quarantined or doubted > max(3, others // 4):
            return  # so many at a time: the fault is ours, or the network's
        machine.quarantined = machine.lost = True
        log.error("machine %s does not hear us: %s", machine.name, why)

    def _on_task(self, machine: Machine, place: Placement, state: workers.TaskState, now: float) -> None:
        place.started = True
        if state.phase == workers.FETCHING:
            machine.images.setdefault(place.job.image, False)
            self._state.room.holds(machine, place.job.image)
        elif state.phase == workers.RUNNING:
            if place.running_since is None:
                place.running_since = now - self._ran_before(place)
                self._state.use_image(machine, place.job, there=True)
                if place.job.standing and place.placed_at:
                    self._up(machine, place, now)
            elif place.job.standing and now - RUNS_S > place.running_since > machine.failed_at:
                # Where services run nothing is ever done: that it runs is what speaks for the machine.
                machine.failed_jobs.clear()
        elif state.phase == workers.ENDED:
            self._ended(machine, place, state, now)

    def _ran_before(self, place: Placement) -> float:
        """How long a task that is first seen running has run. For one that an owner before us has placed
        nobody knows; half of what it is expected to, where from the takeover on it would seem to have hardly
        begun, and be cheap to stop."""
        return 0.0 if place.placed_here or place.job.standing else 0.5 * self._state.expected(place.job)

    def _up(self, machine: Machine, place: Placement, now: float) -> None:
        """Say how long a replica was away, and of what that was made up."""
        job = place.job
        # An owner before us may have seen it up: what is missing since we are owner is all that we know.
        since, unknown = job.down.pop(place.task, (max(job.created, self._state.owner_since), 0.0))
        log.info(
            "replica %s up on %s after %.1f s: %.1f unnoticed, %.1f until placed, %.1f start and fetch",
            place.part, machine.name, unknown + now - since, unknown, place.placed_at - since,
            now - place.placed_at,
        )  # fmt: skip

    def _ended(self, machine: Machine, place: Placement, state: workers.TaskState, now: float) -> None:
        job = place.job
        self._state.close(machine, place, now)
        if state.why == workers.DONE and job.spec.shape != SERVICE:
            self._done(machine, place, now)
            return
        if job.cancelled:
            return
        if job.standing and state.why in (workers.DONE, workers.ERROR):
            self._rest(job, place, now)
        else:
            job.requeue(place.task)
        if job.spec.shape == GANG:
            # One task down, the gang is down: stop the others, so that all can come together again.
            for other in job.open.values():
                if not other.halting:
                    self._state.halt(other, job.spec.save_grace_s)
        if state.why not in (workers.HALTED, workers.PEERS, workers.ALONE, workers.DONE):
            self._not_run(machine, place, state, now)

    def _done(self, machine: Machine, place: Placement, now: float) -> None:
        """A task has completed."""
        job = place.job
        job.done.add(place.task)
        self._state.on_done(place)
        self._state.use_image(machine, job, there=True)
        machine.good += 1
        machine.failed_jobs.clear()
        if place.running_since is not None and place.placed_here:
            # Runs counted from a takeover taught that everything ends within seconds: the backlog seemed to
            # be nothing, so too little was rented and nothing was stopped for urgent work.
            self._state.estimates.ended(job.job_class, job.spec.estimate_s, now - place.running_since)
        if job.finished:
            log.info("job %s done after %.1f s", job.spec.id, now - job.created)
            self._state.settle_job(job)

    def _not_run(self, machine: Machine, place: Placement, state: workers.TaskState, now: float) -> None:
        """A task has failed, or its machine has refused it."""
        job = place.job
        if state.why == workers.FULL:
            # The late picture was wrong; wait for a newer report before trying this machine again.
            self._state.refusals += 1
            machine.full_until = now + 1.0
            log.debug("machine %s refused %s: full", machine.name, place.part)
        elif state.why == workers.ERROR:
            self._failed(machine, job, place.part, now)
        else:
            log.info("machine %s refused %s: %s", machine.name, place.part, state.why)
            if state.why == workers.UNKNOWN and job.not_before <= now:
                # A submission that its user gave up on and that was executed late: no worker may ever know
                # it. Tried every other second it would keep room from everybody else for ever.
                self._hold_back(job, now, 2.0)
            job.not_before = max(job.not_before, now + 2.0)

    def _rest(self, job: Job, place: Placement, now: float) -> None:
        """A replica of a service has ended by itself: again at once, but one that ends again and again only
        after a while, each time a longer one. The job's other replicas go on."""
        ran = place.running_since is not None and now - place.running_since > STEADY_S
        ends = 0 if ran else job.ends.get(place.task, 0)
        job.ends[place.task] = ends + 1
        if ends:
            job.resting[place.task] = now + min(REST_S, 2.0 ** min(ends - 1, 10))
        else:
            job.requeue(place.task)

    def _hold_back(self, job: Job, now: float, first_s: float) -> float:
        """Try the job again only after a while, each time a longer one."""
        wait = min(60.0, first_s * 2.0 ** min(job.held_back, 5))
        job.held_back += 1
        job.not_before = now + wait
        return wait

    def _failed(self, machine: Machine, job: Job, part: str, now: float) -> None:
        """A task failed: blame the machine if it fails several jobs, the job if it fails everywhere."""
        job.errors += 1
        job.failed_on.add(machine.index)
        machine.failed_at = now
        machine.failed_jobs[job.spec.id] = machine.failed_jobs.get(job.spec.id, 0) + 1
        log.error(
            "run failed: task %s on %s (%d failed runs of the job, on %d machines)",
            part, machine.name, job.errors, len(job.failed_on),
        )  # fmt: skip
        # Of hundreds of machines some are sick at the same time, and a large array meets several of them: as
        # long as it runs elsewhere, the fault is not the job's.
        runs = bool(job.done) or any(
            p.running_since is not None and now - p.running_since > RUNS_S and p.machine not in job.failed_on
            for p in job.open.values()
        )
        if len(job.failed_on) >= self._state.policy.job_fault_machines and not runs and job.standing:
            job.failed_on.clear()  # its replicas rest, each by itself
            return
        if len(job.failed_on) >= self._state.policy.job_fault_machines and not runs:
            wait = self._hold_back(job, now, 8.0)
            job.failed_on.clear()
            log.error("job %s fails on every machine; next try in %.0f s", job.spec.id, wait)
            return
        if len(job.failed_on) > 8:
            job.failed_on.clear()
        several = len(machine.failed_jobs) >= 2
        # A replica that can't run anywhere would cost one machine after the other.
        alone = sum(machine.failed_jobs.values()) >= 2 and runs and not job.standing
        if (several or alone) and not machine.quarantined:
            machine.quarantined = True
            log.error("machine %s quarantined: %s failed there", machine.name, list(machine.failed_jobs))
        elif not several:
            machine.full_until = max(machine.full_until, now + 3.0)

    def _close_unstarted(self, machine: Machine, seen: dict[Key, str], after: float) -> None:
        """Close what a cancelled job had on its way here and the worker does not have.

        Safe only for a report sent after the cancellation was committed: no node answers that report or
        a later one with the start (the gate reads the cancellation), and a worker has one report in
        flight, so the answer to an earlier one has been dropped or executed already. A report that was
        merely received after the cancellation may have been held back by a cut and prove nothing.
        """
        now = self._state.clock()
        for key, place in list(machine.open.items()):
            absent = key not in seen and place.session == machine.session
            if place.job.cancelled and absent and after >= place.job.cancel_known:
                self._state.close(machine, place, now)

    def worker_contact(self, since: float) -> WorkerContact:
        """How many machines have been heard after `since`, directly and through each relay."""
        direct = 0
        relayed: dict[str, int] = {}
        with self._state.lock:
            for machine in self._state.machines.values():
                if not machine.reported or machine.heard < since:
                    continue
                if machine.relay:
                    relayed[machine.relay] = relayed.get(machine.relay, 0) + 1
                else:
                    direct += 1
        return WorkerContact(direct, relayed)

    def answered(self, index: int, report: workers.Report, orders: list[workers.Order]) -> None:
        """A report is answered with these. An answer to a late copy reaches nobody and doesn't count."""
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is not None and (machine.session, machine.tick) == (report.session, report.tick):
                machine.answered = self._state.clock()
                machine.ordered = [(o.part, o.attempt, o.verb) for o in orders]

    def orders_for(self, index: int, arrival: float) -> tuple[list[workers.Order], bool]:
        """What to answer the machine's report that came at `arrival`, and whether starts await the gate.

        The gate: a start goes out only if we were verifiably the owner at some moment after the report
        arrived, and the placement is durable and still open now.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.owner:
                return [], False
            seen = self._state.seen[index]
            orders: list[workers.Order] = []
            gated = False
            for key, phase in seen.items():
                place = machine.open.get(key)
                part, attempt = key
                if phase == workers.ENDED:
                    name, task = workers.split_task(part) or ("", 0)
                    if place is None and not self._state.unsettled(name, task):
                        orders.append(workers.Reap(part, attempt))
                elif place is None:
                    orders.append(workers.Halt(part, attempt, 0.0))
                elif place.halting:
                    orders.append(workers.Halt(part, attempt, place.halt_grace))
            for key, place in machine.open.items():
                if key in seen or not place.durable or place.session != machine.session:
                    continue
                if place.job.cancelled:
                    continue
                if self._state.verified_at <= arrival:
                    gated = True
                    continue
                orders.append(workers.Start(place.part, place.attempt))
                self._state.starts += 1
            return orders, gated

    def halts_for(
        self, index: int, cancelled_alone: bool = False
    ) -> tuple[str, int, list[workers.Order]] | None:
        """Address, session and the halts that are worth a direct command to this machine now; with
        `cancelled_alone` those of cancelled jobs, which are right whoever owns them.

        Only halts go that way: a copy that comes late stops an attempt that was to stop anyway.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not self._state.owner or not machine.address:
                return None
            places = [p for p in machine.open.values() if p.job.cancelled or not cancelled_alone]
            halts: list[workers.Order] = [
                workers.Halt(place.part, place.attempt, place.halt_grace)
                for place in places
                if place.halting and place.started and not place.halt_sent
            ]
            for place in places:
                place.halt_sent = place.halt_sent or place.halting
            return (machine.address, machine.session, halts) if halts else None

    def hold_s(self, index: int) -> float:
        """How long it pays to keep this machine's report, waiting for work to answer it with.

        A worker's lease counts from the sending of its report, and it drops answers after 4 s, so a short
        wait costs nothing but the news of tasks that end meanwhile.
        """
        with self._state.lock:
            machine = self._state.machines.get(index)
            if machine is None or not machine.usable:
                return 0.0
            if not machine.open:
                return min(self._state.policy.hold_idle_s, self._state.settings.facts.workers.report_s * 0.75)
            if machine.free_cpus > EPS or any(not p.durable for p in machine.open.values()):
                return self._state.policy.hold_s
            return 0.0
