"""The owner's decisions over its jobs and machines, in memory, without I/O.

Everything here runs under one short lock. Threads in `controller` carry the results out: the group
commit writes what `take_batch` hands over, the cloud thread does what `fleet_step` asks, and answers to
reports carry what `orders_for` lists. The safety argument is in docs/architecture.md; the rules that it
rests on are stated where the code keeps them.
"""

import dataclasses
import logging
import math
import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bayford.config import Settings
from bayford.coordination import estimate
from bayford.protocol import workers
from bayford.scheduling import fleet, placement, preemption, tempered
from bayford.scheduling.model import (
    EPS,
    GANG,
    SERVICE,
    SERVICE_RUN_S,
    URGENT,
    Job,
    Machine,
    MachineType,
    Names,
    Placement,
)
from bayford.scheduling.policy import Policy
from bayford.scheduling.quota import Share
from bayford.storage import records
from bayford.storage.store import Put, Row

log = logging.getLogger("bayford.engine")

KEEP_S = 4.0  # how long room that was made for a job is kept for it

Key = tuple[str, int]  # task name, attempt


@dataclass(slots=True)
class Versions:
    """Which state of a job is in memory, being written and durable."""

    now: int = 1
    flying: int = 0  # the version in a transaction without an answer yet
    durable: int = 0
    parked: Row | None = None  # a row seen while a transaction was under way
    urgent: bool = False
    dirty_since: float = 0.0


@dataclass(slots=True)
class Batch:
    """One transaction of the group commit and what it makes durable."""

    conditions: dict[str, int]
    puts: list[Put]
    versions: dict[str, int]
    placements: list[tuple[str, Placement]]
    rows: list[tuple[str, object, str]]


@dataclass(slots=True)
class Seen:
    """What the last report of a machine said of one attempt."""

    phase: str
    version: int = 0  # of the job, when its placement was closed by this


@dataclass(slots=True)
class FleetStep:
    """What the cloud thread is to do now."""

    rentals: list[tuple[str, str, bool, int, str]] = field(default_factory=list)  # type, zone, spot, count
    deletions: list[tuple[str, str]] = field(default_factory=list)  # name, why


class Engine:
    """All jobs and machines of this controller while it owns them."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        facts = settings.facts
        self.settings = settings
        self.policy = policy
        self.clock = clock
        self.wall = wall
        self.rng = rng
        self.lock = threading.Lock()
        self.machines_by = Names()
        self.zones = Names(facts.zones)
        self.types_by = Names()
        self.teams_by = Names(t.name for t in facts.teams)
        self.images = Names()
        self.classes = Names()
        self.types: list[MachineType] = []
        self.value_bytes = int(facts.state.value_kb * 1024)
        self.estimates = estimate.Estimates()
        # Called under the lock, so they must be short and take no lock of ours.
        self.on_ready: Callable[[int], None] = lambda machine: None
        self.on_halt: Callable[[int], None] = lambda machine: None
        self.refused: dict[fleet.Option, float] = {}
        # When the users want a class done: the aims of the settings, for jobs without a deadline.
        self.targets = {
            o.job_class: o.within_s
            for o in facts.objectives
            if o.kind == "finished" and o.job_class is not None and o.within_s is not None
        }
        self._clear()

    def _clear(self) -> None:
        self.owner = False
        self.complete = False
        self.jobs: dict[str, Job] = {}
        self.versions: dict[str, Versions] = {}
        self.machines: dict[int, Machine] = {}
        self.seen: dict[int, dict[Key, Seen]] = {}
        self.gone: set[str] = set()
        self.shares = [
            Share(t.name, t.cpus, t.cpus_max, t.gpus, t.gpus_max) for t in self.settings.facts.teams
        ]
        self.verified_at = -1e18
        self.last_report = -1e18
        self.owner_since = 0.0
        self.late_picture: dict[str, list[str]] = {}
        self.renting: dict[fleet.Option, int] = {}
        self.urgent_jobs: list[tuple[float, float]] = []  # when accepted, CPUs
        self.refusals = 0
        self.starts = 0
        self.balanced_at = -1e18
        self.moves = 0
        self.dear_serves = True

    # -- ownership -------------------------------------------------------------------------------------

    def adopt(
        self,
        found: Iterable[tuple[records.Record, int]],
        late_picture: dict[str, list[str]] | None = None,
    ) -> None:
        """Become owner: rebuild everything from the records. Nothing is placed before this is complete.

        `late_picture` is the last summary of the owner before: the images on each machine. It only
        steers choices, so that it is late, or missing, does no harm.
        """
        with self.lock:
            self._clear()
            self.owner = True
            self.late_picture = late_picture or {}
            now = self.owner_since = self.clock()
            for record, stamp in found:
                self._load(record, stamp, now)
            self.complete = True
            log.info("owner of %d open jobs on %d machines", len(self.jobs), len(self.machines))

    def depose(self) -> None:
        """No longer owner: drop every decision."""
        with self.lock:
            if self.owner:
                log.info("no longer owner")
            self._clear()

    def _load(self, record: records.Record, stamp: int, now: float) -> None:
        spec = record.spec
        if (record.cancelled or record.finished) and not record.open:
            return
        team = self.teams_by.find(spec.team)
        if team is None:  # the settings lost a team: its tasks still count for nobody, say so
            log.error("job %s: team %s is not in the settings", spec.id, spec.team)
            return
        wall = self.wall()
        job = Job(
            spec,
            team,
            self.images.index(spec.image),
            self.classes.index(spec.job_class),
            None if spec.zone is None else self.zones.index(spec.zone),
            None if spec.types is None else frozenset(self.types_by.index(t) for t in spec.types),
            now - (wall - record.created),
            record.created,
            records.unrange(record.done),
            next_attempt=record.next_attempt,
            stamp=stamp,
        )
        if record.cancelled:
            job.cancelled = True
            job.cancel_known = now
            job.cancelled_at = now - max(0.0, wall - record.cancelled)
        self.jobs[spec.id] = job
        self.versions[spec.id] = Versions(now=1, durable=1)
        for place_key, pairs in record.open.items():
            name, _, session = place_key.rpartition(" ")
            machine = self._machine(name, now)
            for task, attempt in pairs:
                place = Placement(task, attempt, machine.index, int(session), durable=True, placed_at=now)
                place.halting = job.cancelled  # the cancellation outlives the owner that saw it
                self._book(job, machine, place)
        if not job.cancelled:
            job.waiting = [
                t for t in range(spec.tasks - 1, -1, -1) if t not in job.done and t not in job.open
            ]

    def _machine(self, name: str, now: float) -> Machine:
        index = self.machines_by.index(name)
        machine = self.machines.get(index)
        if machine is None:
            machine = Machine(index, name, heard=now, rented=now, idle_since=now)
            machine.images = {self.images.index(i): True for i in self.late_picture.get(name, ())}
            self.machines[index] = machine
            self.seen[index] = {}
        return machine

    def _book(self, job: Job, machine: Machine, place: Placement) -> None:
        job.open[place.task] = place
        machine.open[(workers.task_name(job.spec.id, place.task), place.attempt)] = place
        machine.idle_since = 0.0
        machine.take(job.spec)
        self.shares[job.team].take(job.spec)

    # -- jobs: writing ---------------------------------------------------------------------------------

    def _touch(self, job: Job, urgent: bool = False) -> None:
        versions = self.versions[job.spec.id]
        if versions.now == versions.durable or not versions.dirty_since:
            versions.dirty_since = self.clock()
        versions.now += 1
        versions.urgent = versions.urgent or urgent

    def _record(self, job: Job) -> records.Record:
        open_: records.Open = {}
        for place in job.open.values():
            where = f"{self.machines_by[place.machine]} {place.session}"
            open_.setdefault(where, []).append([place.task, place.attempt])
        cancelled = 0.0
        if job.cancelled:
            cancelled = self.wall() - (self.clock() - job.cancelled_at)
        return records.Record(
            job.spec, job.created_wall, cancelled, job.next_attempt, records.ranges(job.done), open_
        )

    def take_batch(self, map_stamp: int, ops: int) -> Batch | None:
        """The next transaction: the most urgent dirty jobs, within `ops` changes and the size limit.

        Conditional on the map, so a deposed owner writes nothing, and on each job's stamp, so that a
        transaction that was given up on and comes late can't overwrite what came after it.
        """
        with self.lock:
            dirty = [
                (not v.urgent, v.dirty_since, name)
                for name, v in self.versions.items()
                if v.now > v.durable and not v.flying
            ]
            if not self.owner or not dirty:
                return None
            batch = Batch({records.MAP: map_stamp}, [], {}, [], [])
            room = 52 * 1024
            for _, _, name in sorted(dirty):
                job, versions = self.jobs[name], self.versions[name]
                rows = records.encode(self._record(job), self.value_bytes)
                size = sum(len(str(v)) + 80 for _, v in rows)
                drops = [f"{records.key(name)}.{n}" for n in range(len(rows), job.pieces)]
                if batch.puts and (len(batch.puts) + len(rows) + len(drops) > ops or size > room):
                    if versions.urgent:
                        break
                    continue
                job.pieces = len(rows)
                batch.conditions[records.key(name)] = job.stamp
                batch.puts += [Put(k, v) for k, v in rows] + [Put(k, None) for k in drops]
                batch.versions[name] = versions.now
                batch.placements += [(name, p) for p in job.open.values() if not p.durable]
                versions.flying = versions.now
                versions.urgent = False
                room -= size
                if len(batch.puts) >= ops:
                    break
            return batch

    def committed(self, batch: Batch, revision: int, began: float) -> None:
        """The batch is durable: its placements may start, its jobs may be told."""
        with self.lock:
            if not self.owner:
                return
            self.verified_at = max(self.verified_at, began)
            wake = set()
            for name, place in batch.placements:
                job = self.jobs.get(name)
                if job is not None and job.open.get(place.task) is place:
                    place.durable = True
                    wake.add(place.machine)
            for name, version in batch.versions.items():
                job = self.jobs.get(name)
                if job is None:
                    continue
                versions = self.versions[name]
                versions.flying = 0
                versions.durable = version
                if versions.now == version:
                    versions.dirty_since = 0.0
                job.stamp = max(job.stamp, revision)
                self._unpark(job, versions)
                self._retire(job, versions)
            for index in wake:
                self.on_ready(index)

    def not_committed(self, batch: Batch) -> None:
        """Refused, conflicting or unanswered: everything in it is dirty again.

        After no answer the transaction may still be applied; then the next one conflicts, the row that
        it wrote is read and its stamp taken over. Until one of ours is known to have been applied, its
        placements stay open and unstarted.
        """
        with self.lock:
            for name in batch.versions:
                versions = self.versions.get(name)
                job = self.jobs.get(name)
                if versions is None or job is None:
                    continue
                versions.flying = 0
                self._unpark(job, versions)

    def verified(self, began: float) -> None:
        """A comparison of the map, sent at `began`, held: we were owner then."""
        with self.lock:
            if self.owner:
                self.verified_at = max(self.verified_at, began)

    def _unpark(self, job: Job, versions: Versions) -> None:
        row, versions.parked = versions.parked, None
        if row is not None and row.stamp > job.stamp:
            self._merge(job, versions, row)

    def _merge(self, job: Job, versions: Versions, row: Row) -> None:
        """Somebody else's write of a job of ours: a cancellation, or a transaction given up on."""
        job.stamp = row.stamp
        job.pieces = max(job.pieces, records.pieces(row.value))
        versions.now += 1
        if not versions.dirty_since:
            versions.dirty_since = self.clock()
        record = self.read_record(job.spec.id)
        if record is not None and record.cancelled and not job.cancelled:
            self._cancel(job, record.cancelled)
            if not job.open and not record.open:  # the record is final as it stands
                versions.durable = versions.now
                self._retire(job, versions)

    # Set by the controller: the mirrored record of a job.
    read_record: Callable[[str], records.Record | None] = staticmethod(lambda job_id: None)

    def _cancel(self, job: Job, wall_at: float) -> None:
        now = self.clock()
        job.cancelled = True
        job.cancel_known = now
        job.cancelled_at = now - max(0.0, self.wall() - wall_at)
        job.waiting.clear()
        log.info("job %s cancelled, %d tasks to stop", job.spec.id, len(job.open))
        for place in job.open.values():
            place.halting, place.halt_grace = True, 0.0
            self.on_halt(place.machine)

    def _retire(self, job: Job, versions: Versions) -> None:
        """Forget a job whose final record is durable; the mirror keeps that for its users."""
        over = job.cancelled or job.finished
        if over and not job.open and versions.now == versions.durable and not versions.flying:
            self.jobs.pop(job.spec.id, None)
            self.versions.pop(job.spec.id, None)

    def on_row(self, row: Row, record: records.Record) -> None:
        """A job's row changed in the store."""
        with self.lock:
            if not self.owner or not self.complete:
                return
            job = self.jobs.get(record.spec.id)
            if job is None:
                self._load(record, row.stamp, self.clock())
                if record.spec.id in self.jobs:
                    spec = record.spec
                    if spec.priority >= URGENT:
                        self.urgent_jobs = self.urgent_jobs[-20:] + [(self.clock(), spec.cpus * spec.tasks)]
                    log.info("job %s accepted: %d tasks", record.spec.id, record.spec.tasks)
                return
            versions = self.versions[record.spec.id]
            if versions.flying:
                versions.parked = row
            elif row.stamp > job.stamp:
                self._merge(job, versions, row)

    # -- reports ---------------------------------------------------------------------------------------

    def on_report(self, report: workers.Report, after: float = -1e18, relay: str = "") -> int | None:
        """Take a report in; its machine's index, or None if a newer one was here before.

        `after` is a moment before which the report was certainly not sent: the answer to the report
        before it on the same connection. Reports may be minutes late, and only this tells.
        """
        with self.lock:
            if not self.owner or not self.complete or report.machine in self.gone:
                return None
            now = self.clock()
            machine = self._machine(report.machine, now)
            order = (report.session, report.tick)
            if order <= (machine.session, machine.tick) and machine.reported:
                # Overtaken, by an answer of /commands perhaps: it tells nothing, but it can be answered.
                return machine.index if report.session == machine.session else None
            self.last_report = now
            if report.session > machine.session:
                self._new_session(machine, report.session, now)
            machine.tick = report.tick
            machine.heard = now
            machine.relay = relay
            if not machine.reported:
                self._first_report(machine, report, now)
            if report.notice_s is not None:
                if machine.notice is None:
                    log.info("machine %s: taken by the cloud in %.0f s", machine.name, report.notice_s)
                machine.notice = now + report.notice_s
            seen: dict[Key, Seen] = {}
            for state in report.tasks:
                key = (state.part, state.attempt)
                place = machine.open.get(key)
                version = 0
                old = self.seen[machine.index].get(key)
                if old is not None:
                    version = old.version
                if place is not None:
                    version = self._on_task(machine, place, state, now)
                seen[key] = Seen(state.phase, version)
            self.seen[machine.index] = seen
            self._close_unstarted(machine, seen, after)
            if not machine.open and machine.idle_since <= 0:
                machine.idle_since = now
            return machine.index

    def _first_report(self, machine: Machine, report: workers.Report, now: float) -> None:
        machine.reported = True
        machine.address = report.address
        machine.zone = self.zones.index(report.zone)
        machine.spot = report.spot
        machine.idle_since = now
        self._size(machine, report.type)

    def _size(self, machine: Machine, type_name: str) -> None:
        index = self.types_by.index(type_name)
        if machine.type is not None or index >= len(self.types):
            return
        kind = self.types[index]
        if not kind.zones:  # named by a job, unknown to the cloud's catalog
            return
        machine.type = index
        machine.cpus, machine.gpus, machine.mem_gb = kind.cpus, kind.gpus, kind.mem_gb
        machine.free_cpus += kind.cpus  # what is booked already was subtracted from 0
        machine.free_gpus += kind.gpus
        machine.free_mem += kind.mem_gb

    def _new_session(self, machine: Machine, session: int, now: float) -> None:
        """The worker's lease ran out: it has killed and forgotten all tasks of earlier sessions."""
        lost = [(key, p) for key, p in machine.open.items() if p.session < session]
        if machine.reported and lost:
            log.info("machine %s: session %d, %d tasks lost", machine.name, session, len(lost))
        machine.session = session
        machine.tick = -1
        self.seen[machine.index] = {}
        for key, place in lost:
            job = self._job_of(key)
            self._close(machine, key, place, job, now)
            if not job.cancelled:
                job.requeue(place.task)

    def _close(self, machine: Machine, key: Key, place: Placement, job: Job, now: float) -> None:
        """Only ever called on evidence: ended, a later session, cancelled and absent, machine deleted."""
        del machine.open[key]
        if job.open.get(place.task) is place:
            del job.open[place.task]
        machine.give(job.spec)
        self.shares[job.team].give(job.spec)
        if not machine.open:
            machine.idle_since = now
        self._touch(job, urgent=job.spec.priority >= URGENT or not (job.waiting or job.open))

    def _on_task(self, machine: Machine, place: Placement, state: workers.TaskState, now: float) -> int:
        name, _ = workers.split_task(state.part) or ("", 0)
        job = self.jobs[name]
        place.started = True
        if state.phase == workers.FETCHING:
            place.fetching = True
            machine.images.setdefault(job.image, False)
        elif state.phase == workers.RUNNING:
            place.fetching = False
            machine.images[job.image] = True
            if place.running_since is None:
                place.running_since = now
        elif state.phase == workers.ENDED:
            self._ended(machine, (state.part, state.attempt), place, job, state, now)
            return self.versions[name].now if name in self.versions else 0
        return 0

    def _ended(
        self,
        machine: Machine,
        key: Key,
        place: Placement,
        job: Job,
        state: workers.TaskState,
        now: float,
    ) -> None:
        self._close(machine, key, place, job, now)
        if state.why == workers.DONE and job.spec.shape != SERVICE:
            job.done.add(place.task)
            machine.images[job.image] = True
            machine.good += 1
            machine.failed_jobs.clear()
            if place.running_since is not None:
                ratio = self.estimates.ended(job.job_class, job.spec.estimate_s, now - place.running_since)
                machine.speed = 0.7 * machine.speed + 0.3 * min(ratio, 10.0)
            if job.finished:
                log.info("job %s done after %.1f s", job.spec.id, now - job.created)
            return
        if job.cancelled:
            return
        job.requeue(place.task)
        if job.spec.shape == GANG:
            # One task down, the gang is down: stop the others, so that all can come together again.
            for other in job.open.values():
                if not other.halting:
                    other.halting, other.halt_grace = True, job.spec.save_s * 1.5
                    self.on_halt(other.machine)
        if state.why in (workers.HALTED, workers.PEERS, workers.ALONE):
            return
        if state.why == workers.DONE:  # a service's replica: start it again, but not in a spin
            job.not_before = max(job.not_before, now + 1.0)
            return
        if state.why == workers.FULL:
            # The late picture was wrong; wait for a newer report before trying this machine again.
            self.refusals += 1
            machine.full_until = now + 1.0
            log.debug("machine %s refused %s: full", machine.name, key[0])
        elif state.why == workers.ERROR:
            self._failed(machine, job, key, now)
        else:
            job.not_before = max(job.not_before, now + 2.0)
            log.info("machine %s refused %s: %s", machine.name, key[0], state.why)

    def _failed(self, machine: Machine, job: Job, key: Key, now: float) -> None:
        """A task failed: blame the machine if it fails several jobs, the job if it fails everywhere."""
        job.errors += 1
        job.failed_on.add(machine.index)
        machine.failed_jobs[job.spec.id] = machine.failed_jobs.get(job.spec.id, 0) + 1
        log.error(
            "run failed: task %s on %s (%d failed runs of the job, on %d machines)",
            key[0], machine.name, job.errors, len(job.failed_on),
        )  # fmt: skip
        if len(job.failed_on) >= self.policy.job_fault_machines and not job.done:
            wait = min(60.0, 2.0 ** min(job.errors, 6))
            job.not_before = now + wait
            job.failed_on.clear()
            log.error("job %s fails on every machine; next try in %.0f s", job.spec.id, wait)
            return
        if len(job.failed_on) > 8:
            job.failed_on.clear()
        several = len(machine.failed_jobs) >= 2
        alone = sum(machine.failed_jobs.values()) >= 3 and (job.done or machine.good == 0)
        if (several or alone) and not machine.quarantined:
            machine.quarantined = True
            log.error("machine %s quarantined: %s failed there", machine.name, list(machine.failed_jobs))
        elif not several:
            machine.full_until = max(machine.full_until, now + 3.0)

    def _close_unstarted(self, machine: Machine, seen: dict[Key, Seen], after: float) -> None:
        """Close what a cancelled job had on its way here and the worker does not have.

        Safe only for a report sent after the cancellation was committed: no node answers that report or
        a later one with the start (the gate reads the cancellation), and a worker has one report in
        flight, so the answer to an earlier one has been dropped or executed already. A report that was
        merely received after the cancellation may have been held back by a cut and prove nothing.
        """
        now = self.clock()
        for key, place in list(machine.open.items()):
            job = self._job_of(key)
            absent = key not in seen and place.session == machine.session
            if job.cancelled and absent and after >= job.cancel_known:
                self._close(machine, key, place, job, now)

    def orders_for(self, index: int, arrival: float) -> tuple[list[workers.Order], bool]:
        """What to answer the machine's report that came at `arrival`, and whether starts await the gate.

        The gate: a start goes out only if we were verifiably the owner at some moment after the report
        arrived, and the placement is durable and still open now.
        """
        with self.lock:
            machine = self.machines.get(index)
            if machine is None or not self.owner:
                return [], False
            seen = self.seen[index]
            orders: list[workers.Order] = []
            gated = False
            for (part, attempt), state in seen.items():
                place = machine.open.get((part, attempt))
                name, _ = workers.split_task(part) or ("", 0)
                if state.phase == workers.ENDED:
                    versions = self.versions.get(name)
                    if place is None and (versions is None or versions.durable >= state.version):
                        orders.append(workers.Reap(part, attempt))
                elif place is None:
                    orders.append(workers.Halt(part, attempt, 0.0))
                elif place.halting:
                    orders.append(workers.Halt(part, attempt, place.halt_grace))
            for (part, attempt), place in machine.open.items():
                if (part, attempt) in seen or not place.durable or place.session != machine.session:
                    continue
                name, _ = workers.split_task(part) or ("", 0)
                if self.jobs[name].cancelled:
                    continue
                if self.verified_at < arrival:
                    gated = True
                    continue
                orders.append(workers.Start(part, attempt))
                self.starts += 1
            return orders, gated

    def halts_for(self, index: int) -> tuple[str, int, list[workers.Order]] | None:
        """Address, session and the halts that are worth a direct command to this machine now.

        Only halts go that way: a copy that comes late stops an attempt that was to stop anyway.
        """
        with self.lock:
            machine = self.machines.get(index)
            if machine is None or not self.owner or not machine.address:
                return None
            halts: list[workers.Order] = [
                workers.Halt(part, attempt, place.halt_grace)
                for (part, attempt), place in machine.open.items()
                if place.halting and place.started and not place.halt_sent
            ]
            for place in machine.open.values():
                place.halt_sent = place.halt_sent or place.halting
            return (machine.address, machine.session, halts) if halts else None

    def hold_s(self, index: int) -> float:
        """How long it pays to keep this machine's report, waiting for work to answer it with.

        A worker's lease counts from the sending of its report, and it drops answers after 4 s, so a short
        wait costs nothing but the news of tasks that end meanwhile.
        """
        with self.lock:
            machine = self.machines.get(index)
            if machine is None or not machine.usable:
                return 0.0
            if not machine.open:
                return min(self.policy.hold_idle_s, self.settings.facts.workers.report_s * 0.75)
            if machine.free_cpus > EPS or any(not p.durable for p in machine.open.values()):
                return self.policy.hold_s
            return 0.0

    # -- rounds ----------------------------------------------------------------------------------------

    def round(self) -> None:
        """Place what waits, then make room for what may push others out."""
        with self.lock:
            if not self.owner or not self.complete:
                return
            now = self.clock()
            for machine in self.machines.values():
                if machine.notice is not None:
                    self._drain(machine, now)
            queue = self._queue(now)
            if not queue:
                return
            least = min(job.spec.cpus for _, job, _ in queue)
            roomy = [m for m in self.machines.values() if m.free_cpus + EPS >= least and m.usable]
            for _, job, count in queue:
                self._place(job, count, roomy, now)
            self._preempt([job for _, job, _ in queue], now)
            if now - self.balanced_at >= self.policy.balance_every_s:
                self.balanced_at = now
                self._balance([job for _, job, _ in queue], now)

    def _queue(self, now: float) -> list[tuple[tuple[float, ...], Job, int]]:
        """Jobs with waiting tasks in the order of service.

        Urgent work first; then what lies within its team's guarantee; then by priority; among equals the
        job with the least work left, so that many finish soon, with waiting time as the other weight.
        """
        out: list[tuple[tuple[float, ...], Job, int]] = []
        for job in self.jobs.values():
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
            if job.spec.priority >= URGENT:
                out.append(((0.0, 0.0, -float(job.spec.priority), self._rank(job, run, age)), job, count))
                continue
            owed = min(count, share.owed(job.spec))
            if owed and age > self.policy.guarantee_wait_s:
                out.append(((1.0, 0.0, 0.0, -age), job, owed))
            guaranteed = 0.0 if owed and self.policy.guarantee_first else 1.0
            order = (2.0, guaranteed, -float(job.spec.priority), self._rank(job, run, age))
            out.append((order, job, count))
        out.sort(key=lambda entry: entry[0])
        return out

    def _rank(self, job: Job, run: float, age: float) -> float:
        """Work left, shrinking with age: small jobs first, yet none for ever last."""
        left = (len(job.waiting) + 0.5 * len(job.open)) * run * max(job.spec.cpus, 0.1)
        return left / (1.0 + age / self.policy.aging_s)

    def expected(self, job: Job) -> float:
        """Expected run time of one task, corrected by what has been seen of the class."""
        if job.spec.shape == SERVICE:
            return SERVICE_RUN_S
        return self.estimates.expected(job.job_class, job.spec.estimate_s)

    def _zone(self, machine: int) -> int | None:
        found = self.machines.get(machine)
        return None if found is None else found.zone

    def _place(self, job: Job, count: int, roomy: list[Machine], now: float) -> None:
        counts = placement.zones_open(job, self._zone)
        if None in {self._zone(p.machine) for p in job.open.values()} and (
            job.spec.one_zone or job.spec.spread
        ):
            # After a takeover a machine with tasks of the job may not have been heard yet: where it
            # stands is unknown, so the zone rules can't be checked.
            job.why_waiting = "zone of a running task unknown"
            return
        machines = placement.candidates(job, roomy, counts, now)
        if not self.dear_serves and job.spec.priority < URGENT and job.spec.spot:
            # The cheap machines alone are in time: let the dear ones run empty and go back.
            machines = [m for m in machines if m.spot]
        share = self.shares[job.team]
        if job.spec.shape == GANG:
            self._place_gang(job, machines, now)
            return
        placed = 0
        limit = max(1, (self.value_bytes * (self.settings.facts.state.txn_ops - 2)) // 40)
        while job.waiting and placed < count and share.allows(job.spec) and len(job.open) < limit:
            task = job.waiting[-1]
            machine = placement.choose(job, machines, job.hints.pop(task, None))
            if machine is None:
                job.why_waiting = "no room on an allowed machine"
                break
            self._put(job, job.waiting.pop(), machine, now)
            placed += 1
            if job.spec.one_zone or job.spec.spread:
                counts = placement.zones_open(job, self._zone)
                machines = placement.candidates(job, machines, counts, now)
        if placed:
            self._touch(job, urgent=job.spec.priority >= URGENT)
            log.debug("job %s: placed %d, %d wait", job.spec.id, placed, len(job.waiting))

    def _put(self, job: Job, task: int, machine: Machine, now: float) -> None:
        place = Placement(task, job.next_attempt, machine.index, machine.session, placed_at=now)
        job.next_attempt += 1
        self._book(job, machine, place)
        machine.images.setdefault(job.image, False)
        if machine.kept_for == job.spec.id:
            machine.kept_until = 0.0

    def _place_gang(self, job: Job, machines: list[Machine], now: float) -> None:
        """All waiting tasks of a gang at once, in one transaction, or none."""
        picks = placement.choose_gang(job, machines, len(job.waiting))
        if picks is None:
            job.why_waiting = "no room for the whole gang"
            return
        # One attempt number for the whole gang: its tasks come together by it.
        attempt = job.next_attempt
        for machine in picks:
            job.next_attempt = attempt
            self._put(job, job.waiting.pop(), machine, now)
        self._touch(job, urgent=job.spec.priority >= URGENT)

    def _preempt(self, queue: list[Job], now: float) -> None:
        """Stop the cheapest tasks for waiting work that PROTOCOL lets push them out."""
        budget = self.policy.preempt_per_round
        kept: dict[str, int] = {}
        for machine in self.machines.values():
            if machine.kept_until > now:
                kept[machine.kept_for] = kept.get(machine.kept_for, 0) + 1
        after = [dataclasses.replace(share) for share in self.shares]  # once the stops are through
        for machine in self.machines.values():
            for key, place in machine.open.items():
                if place.halting:
                    job = self._job_of(key)
                    after[job.team].give(job.spec)
        for job in queue:
            if budget <= 0 or not job.waiting or job.not_before > now:
                continue
            share = self.shares[job.team]
            need = min(len(job.waiting), share.room(job.spec))
            owed = 0
            if now - job.created > self.policy.guarantee_wait_s:
                owed = share.owed(job.spec)
            if job.spec.priority < URGENT:
                # Room is taken back for the guarantee alone, not for what would be borrowed on top.
                need = min(need, owed)
            need -= kept.get(job.spec.id, 0)
            while need > 0 and budget > 0:
                found = self._find_victims(job, now, after, owed > 0)
                if found is None:
                    break
                # Else smaller tasks would take what is free there already, and the stop was for nothing.
                machine = self.machines[found[0].place.machine]
                machine.kept_for, machine.kept_until = job.spec.id, now + KEEP_S
                owed -= 1
                for victim in found:
                    after[victim.job.team].give(victim.job.spec)
                    victim.place.halting = True
                    victim.place.halt_grace = (
                        victim.job.spec.save_s * 1.5 if victim.job.spec.checkpoint_s else 0
                    )
                    self.on_halt(victim.place.machine)
                    budget -= 1
                log.info(
                    "job %s waits: stopping %s", job.spec.id,
                    [workers.task_name(v.job.spec.id, v.place.task) for v in found],
                )  # fmt: skip
                need -= 1

    def _job_of(self, key: Key) -> Job:
        return self.jobs[workers.split_task(key[0])[0]]  # type: ignore[index]

    def _find_victims(
        self, waiting: Job, now: float, after: list[Share], owed: bool
    ) -> list[preemption.Victim] | None:
        counts = placement.zones_open(waiting, self._zone)
        best: tuple[float, list[preemption.Victim]] | None = None
        for machine in placement.candidates(waiting, self.machines.values(), counts, now):
            if machine.relay:
                continue
            found = []
            halting = False
            for key, place in machine.open.items():
                job = self._job_of(key)
                if place.halting:
                    halting = True
                elif preemption.may_stop(waiting, job, after, owed):
                    ran = 0.0 if place.running_since is None else now - place.running_since
                    left_s = self.expected(job) - ran
                    if waiting.spec.priority < URGENT and left_s < self.policy.guarantee_wait_s / 2:
                        continue  # it gives the room back by itself soon; stopping it wastes its work
                    loss = preemption.lost_work(job, place, now, self.expected(job))
                    found.append(preemption.Victim(job, place, loss))
            if halting:
                continue
            got = preemption.victims_on(machine, waiting, found, 4)
            if got is None:
                continue
            cost = got[1]
            if not machine.images.get(waiting.image) and machine.type is not None:
                # The waiting task would first fetch its image there.
                fetch = waiting.spec.image_gb / max(self.types[machine.type].fetch_gb_per_s, 0.01)
                cost += fetch * waiting.spec.cpus * self.policy.fetch_weight
            if best is None or cost < best[0]:
                best = (cost, got[0])
        return best[1] if best else None

    def _balance(self, queue: list[Job], now: float) -> None:
        """The paper's balancer: move running tasks off a machine to free the room that a waiting task
        needs there, when it fits on no machine. Moves are stops with a hint where to go on."""
        running = sum(len(m.open) for m in self.machines.values())
        left = tempered.budget(running, self.policy.balance_share)
        freeing = any(p.halting for m in self.machines.values() for p in m.open.values())
        for job in queue:
            if left <= 0 or freeing:
                return
            if not job.waiting or job.spec.shape == GANG or job.not_before > now:
                continue
            if not self.shares[job.team].allows(job.spec):
                continue
            plan = self._plan(job, left, now)
            if plan is None:
                continue
            for move in plan.moves:
                moved = self._job_of(move.key)
                place = self.machines[plan.source].open[move.key]
                place.halting, place.halt_grace = True, moved.spec.save_s * 1.5
                moved.hints[place.task] = move.target
                self.on_halt(plan.source)
            left -= len(plan.moves)
            self.moves += len(plan.moves)
            log.info(
                "job %s fits nowhere: moving %s off %s (imbalance then %.2f)", job.spec.id,
                [m.key[0] for m in plan.moves], self.machines_by[plan.source], plan.imbalance,
            )  # fmt: skip

    def _plan(self, job: Job, moves: int, now: float) -> tempered.Plan | None:
        spec = job.spec
        counts = placement.zones_open(job, self._zone)
        # Room that is being made for a job, or that a worker just refused, is not there for others.
        usable = [
            m
            for m in self.machines.values()
            if m.usable and not m.relay and m.kept_until <= now and m.full_until <= now
        ]
        allowed = placement.candidates(job, usable, counts, now)
        if any(m.has_room(spec) for m in allowed):
            return None  # it fits as it is and is about to be placed
        hosts = {m.index: self._host(m) for m in usable}
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
        for _, index in sorted(sources)[: self.policy.balance_sources]:
            plan = tempered.free_room(list(hosts.values()), index, need, counts_, self._may_move, self.rng)
            if plan is not None and (best is None or plan.imbalance < best.imbalance):
                best = plan
        return best

    def _host(self, machine: Machine) -> tempered.Host:
        items = []
        for key, place in machine.open.items():
            spec = self._job_of(key).spec
            movable = spec.shape == SERVICE or (spec.checkpoint_s > 0 and spec.shape != GANG)
            if movable and place.running_since is not None and not place.halting:
                items.append(tempered.Item(key, (spec.cpus, spec.gpus, spec.mem_gb)))
        free = (machine.free_cpus, machine.free_gpus, machine.free_mem)
        return tempered.Host(machine.index, machine.cpus, free, items)

    def _may_move(self, key: Key, target: int) -> bool:
        """Whether the task's job allows the target, the task itself gone from where it is."""
        job, machine = self._job_of(key), self.machines[target]
        task = (workers.split_task(key[0]) or ("", 0))[1]
        here = self._zone(job.open[task].machine)
        counts = placement.zones_open(job, self._zone)
        if here is not None:
            counts[here] -= 1
            if not counts[here]:
                del counts[here]
        return (
            machine.zone is not None
            and machine.index not in job.failed_on
            and placement.type_allowed(job, machine)
            and placement.zone_allowed(job, machine.zone, counts)
        )

    def _drain(self, machine: Machine, now: float) -> None:
        """A spot notice: save what can be saved in time, give up early on what can't finish."""
        left = (machine.notice or now) - now
        report_s = self.settings.facts.workers.report_s
        for key, place in machine.open.items():
            if place.halting:
                continue
            job = self._job_of(key)
            save = job.spec.save_s * 1.5 + 1.5 * report_s + 1.0 if job.spec.checkpoint_s else 0.0
            ran = 0.0 if place.running_since is None else now - place.running_since
            ends_in = max(0.0, self.expected(job) - ran)
            if job.spec.checkpoint_s:
                if left <= save + 1.0:
                    place.halting, place.halt_grace = True, job.spec.save_s * 1.5
            elif ends_in > left * 1.5:
                place.halting, place.halt_grace = True, 0.0
            if place.halting:
                self.on_ready(machine.index)

    # -- fleet -----------------------------------------------------------------------------------------

    def set_types(self, types: list[MachineType]) -> None:
        """The catalog, as the cloud gave it; prices move, so this comes again and again."""
        with self.lock:
            for kind in types:
                self.types_by.index(kind.name)
            table = {kind.name: kind for kind in types}
            kept = {t.name: t for t in self.types}
            for name in self.types_by.names:
                if name in kept and name not in table:
                    table[name] = kept[name]
            # A name that a job alone brought up has no row; types[] must follow types_by exactly.
            ordered = []
            for name in self.types_by.names:
                unknown = MachineType(name, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0, ())
                ordered.append(table.get(name, unknown))
            self.types = ordered

    def catalog(self) -> list[MachineType]:
        """The types that the cloud has, empty before the first catalog."""
        with self.lock:
            return [t for t in self.types if t.zones]

    def on_list(self, listed: Iterable[tuple[str, str, str, bool, str, float]], began: float) -> None:
        """The cloud's list: name, type, zone, spot, phase, age. Lagging; what it lacks may be up already."""
        with self.lock:
            if not self.owner:
                return
            now = self.clock()
            names = set()
            for name, kind, zone, spot, phase, age in listed:
                names.add(name)
                if name in self.gone:
                    continue
                fresh = self.machines_by.find(name) not in self.machines
                machine = self._machine(name, now)
                if fresh:
                    log.info("machine %s: found in the list, %s", name, phase)
                machine.rented = min(machine.rented, began - age)
                machine.listed = True
                machine.missing = 0
                if machine.zone is None:
                    machine.zone = self.zones.index(zone)
                    machine.spot = spot
                if machine.type is None:
                    self._size(machine, kind)
                if phase == "failed":
                    machine.quarantined = True
                    machine.draining = True
                    machine.heard = min(machine.heard, now - 1e6)
            for machine in self.machines.values():
                if machine.listed and machine.name not in names:
                    machine.missing += 1

    def fleet_step(self) -> FleetStep:
        """What to rent and what to delete now."""
        step = FleetStep()
        with self.lock:
            if not self.owner or not self.complete or not self.types:
                return step
            now = self.clock()
            waiting = self._needs(now)
            self._deletions(step, now, waiting)
            self._rentals(step, now, waiting)
        return step

    def _needs(self, now: float) -> list[fleet.Need]:
        needs = []
        room = {n: s.cpus_max - s.used_cpus for n, s in enumerate(self.shares)}
        cpus = sum(m.cpus for m in self.machines.values() if not (m.deleting or m.quarantined))
        cpus += sum(self.types[o.type].cpus * n for o, n in self.renting.items())
        cheap = sum(m.cpus for m in self.machines.values() if m.spot and not (m.deleting or m.quarantined))
        keep_dear = False
        ahead = sum(0.5 * self.expected(j) * j.spec.cpus * len(j.open) for j in self.jobs.values())
        for _, job, count in self._queue(now):
            if job.spec.cpus > 0:
                count = min(count, int((room[job.team] + EPS) / job.spec.cpus))
            room[job.team] -= count * job.spec.cpus
            if count <= 0:
                continue
            options = set()
            for index, kind in enumerate(self.types):
                if not kind.zones or not kind.fits(job.spec):
                    continue
                if job.types is not None and index not in job.types:
                    continue
                for zone_name in kind.zones:
                    zone = self.zones.index(zone_name)
                    if job.zone is not None and zone != job.zone:
                        continue
                    options.add(fleet.Option(index, zone, False))
                    if job.spec.spot:
                        options.add(fleet.Option(index, zone, True))
            run = self.expected(job)
            ahead += count * job.spec.cpus * run
            dear = 0
            target = job.spec.deadline_s or self.targets.get(job.spec.job_class)
            if target is not None:
                # Dear machines only where they still make the difference, and only as many as that takes.
                age = now - job.created
                spare = self.policy.target_margin * target - age - run
                boot = min((self.types[o.type].boot_s for o in options), default=0.0)
                if spare <= 0 or ahead / spare > cheap:
                    keep_dear = True
                if spare > 0 and age + boot + run < target:
                    lacking = ahead / spare - cpus
                    dear = min(count, max(0, math.ceil(lacking / max(job.spec.cpus, 0.1))))
                    cpus += dear * job.spec.cpus
            needs.append(
                fleet.Need(
                    frozenset(options),
                    count,
                    job.spec.cpus,
                    job.spec.gpus,
                    job.spec.mem_gb,
                    run,
                    job.spec.priority >= URGENT,
                    dear,
                )  # fmt: skip
            )
        self.dear_serves = keep_dear or not cheap
        return needs

    def _rentals(self, step: FleetStep, now: float, needs: list[fleet.Need]) -> None:
        spare: dict[fleet.Option, int] = dict(self.renting)
        cpus = 0.0
        for machine in self.machines.values():
            if machine.type is None or machine.zone is None or machine.quarantined or machine.deleting:
                continue
            cpus += machine.cpus
            if not machine.reported:
                option = fleet.Option(machine.type, machine.zone, machine.spot)
                spare[option] = spare.get(option, 0) + 1
        for option, count in self.renting.items():
            cpus += self.types[option.type].cpus * count
        held = sum(p.spec.cpus * len(p.open) for p in self.jobs.values() if p.spec.priority >= URGENT)
        work = sum(n.tasks * n.cpus * n.run_s for n in needs)
        busy = work / cpus if cpus else (1e9 if work else 0.0)
        refused = frozenset(o for o, until in self.refused.items() if until > now)
        for rental in fleet.wanted(
            needs,
            self.types,
            spare,
            refused,
            busy,
            self.policy.ordinary_after_s,
            self.policy.patience_s,
            cpus - held,
        ):
            option = rental.option
            self.renting[option] = self.renting.get(option, 0) + rental.count
            kind, zone = self.types_by[option.type], self.zones[option.zone]
            log.info(
                "renting %d %s in %s%s: %s (backlog %.0f s)", rental.count, kind, zone,
                " (spot)" if option.spot else "", rental.why, busy,
            )  # fmt: skip
            step.rentals.append((kind, zone, option.spot, rental.count, rental.why))

    def rented(self, kind: str, zone: str, spot: bool, asked: int, names: list[str], at: float) -> None:
        """A rental request was answered (`names` may be fewer than asked) or refused (none)."""
        with self.lock:
            option = fleet.Option(self.types_by.index(kind), self.zones.index(zone), spot)
            left = self.renting.get(option, 0) - asked
            self.renting[option] = max(0, left)
            if not self.renting[option]:
                self.renting.pop(option, None)
            now = self.clock()
            if len(names) < asked:
                self.refused[option] = now + self.policy.refused_s
                log.info("cloud gave %d of %d %s in %s (spot %s)", len(names), asked, kind, zone, spot)
            if not self.owner:
                return
            for name in names:
                if name in self.gone:
                    continue
                machine = self._machine(name, now)
                machine.rented = min(machine.rented, at)
                machine.zone = option.zone
                machine.spot = spot
                self._size(machine, kind)

    def _deletions(self, step: FleetStep, now: float, needs: list[fleet.Need]) -> None:
        facts = self.settings.facts.workers
        # If nobody at all reports, the fault lies with this controller or the network: wait longer.
        deaf = now - self.last_report > 3.0 or now - self.owner_since < facts.lease_s
        silent = facts.lease_s * (2.5 if deaf else 1.0) + facts.report_s
        # Right after a takeover the workers may still be answered by the deposed owner, who can't know
        # yet if the state service refuses only it; it stops by itself at this bound.
        unheard = max(silent, self.unverified_limit() + 3.0)
        spare = sum(m.cpus for m in self.machines.values() if m.usable and not m.open)
        urgent_cancel: set[int] = set()
        for job in self.jobs.values():
            if job.cancelled and now - job.cancelled_at > 0.5 * facts.cancel_s:
                urgent_cancel.update(p.machine for p in job.open.values())
        for machine in self.machines.values():
            if machine.deleting:
                continue
            quiet = now - machine.heard
            why = ""
            if machine.index in urgent_cancel:
                why = "a cancelled task there is not confirmed stopped"
            elif machine.reported or machine.open:
                if machine.missing >= 2 and quiet > facts.report_s * 1.5:
                    why = "gone from the cloud's list"
                elif quiet > (silent if machine.reported else unheard):
                    why = f"silent for {quiet:.0f} s"
                elif machine.quarantined:
                    why = "quarantined"
                elif machine.notice is not None and not machine.open:
                    why = "to be taken by the cloud, empty"
                elif not machine.open and self._idle(machine, now, needs, spare):
                    why = "idle"
                    spare -= machine.cpus
            else:
                boot = self.types[machine.type].boot_s if machine.type is not None else 60.0
                if machine.missing >= 3 or machine.quarantined:
                    why = "gone or failed while booting"
                elif now - machine.rented > max(4.0 * boot, 60.0) and quiet > boot:
                    why = "never came up"
            if why:
                machine.deleting = True
                step.deletions.append((machine.name, why))
                log.info("deleting machine %s: %s, %d tasks there", machine.name, why, len(machine.open))

    def _idle(self, machine: Machine, now: float, needs: list[fleet.Need], spare: float) -> bool:
        if machine.type is None or machine.idle_since <= 0:
            return False
        waiting = bool(needs) and (machine.spot or self.dear_serves)
        keep = self.policy.keep_idle_s if spare <= self.reserve(now) else self.policy.surplus_idle_s
        if not machine.spot and not self.dear_serves:
            keep = min(keep, self.policy.dear_idle_s)
        return fleet.should_return(
            now - machine.idle_since, now - machine.rented, not machine.spot, waiting, keep
        )

    def reserve(self, now: float) -> float:
        """CPUs worth keeping idle for the next urgent job: the size of those that came lately."""
        recent = [cpus for at, cpus in self.urgent_jobs if now - at < self.policy.reserve_memory_s]
        return self.policy.reserve * sum(recent) / len(recent) if recent else 0.0

    def deleted(self, names: Iterable[str]) -> None:
        """The cloud has confirmed (200): the machines and everything on them are gone."""
        with self.lock:
            now = self.clock()
            for name in names:
                index = self.machines_by.find(name)
                machine = self.machines.pop(index, None) if index is not None else None
                self.gone.add(name)
                if machine is None:
                    continue
                for key, place in list(machine.open.items()):
                    job = self._job_of(key)
                    self._close(machine, key, place, job, now)
                    if not job.cancelled:
                        job.requeue(place.task)
                self.seen.pop(machine.index, None)

    def not_deleted(self, names: Iterable[str]) -> None:
        """The deletion was not confirmed: decide anew. The machine may be gone or not."""
        with self.lock:
            for name in names:
                index = self.machines_by.find(name)
                machine = self.machines.get(index) if index is not None else None
                if machine is not None:
                    machine.deleting = False

    def unverified_limit(self) -> float:
        """How long an owner that can't reach the state service may go on answering reports.

        Its answers keep leases alive for `lease_s` more; a cancellation that was told elsewhere right
        after the last verified moment must still see the tasks gone within `cancel_s`.
        """
        facts = self.settings.facts.workers
        return max(0.0, facts.cancel_s - facts.lease_s - 5.0)

    def summary(self) -> list[tuple[str, float, list[str]]]:
        """What this controller tells the others now and then: name, load and images of its machines."""
        with self.lock:
            if not self.owner:
                return []
            return [
                (
                    m.name,
                    round(1.0 - m.free_cpus / m.cpus, 2) if m.cpus else 0.0,
                    [self.images[i] for i, there in m.images.items() if there],
                )
                for m in self.machines.values()
                if m.reported and not m.deleting
            ]

    def dirty(self) -> int:
        """How many jobs wait for a write."""
        with self.lock:
            return sum(1 for v in self.versions.values() if v.now > v.durable and not v.flying)
