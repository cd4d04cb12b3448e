"""The owner's books: its jobs and machines, what of them is durable, and what is to be written next.

The base of the engine (see `engine`). Everything here runs under one short lock and does no I/O.
"""

import logging
import random
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bayford.config import Settings
from bayford.coordination import estimate
from bayford.protocol import workers
from bayford.scheduling import fleet
from bayford.scheduling.model import (
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
    term: int
    versions: dict[str, int]
    placements: list[tuple[str, Placement]]


@dataclass(slots=True)
class Seen:
    """What the last report of a machine said of one attempt."""

    phase: str
    version: int = 0  # of the job, when its placement was closed by this


class Books:
    """Jobs, machines, shares and versions of this controller while it is owner."""

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
        # The mirrored record of a job.
        self.read_record: Callable[[str], records.Record | None] = lambda job_id: None
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
        self.term = -1
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

    def adopt(
        self,
        found: Iterable[tuple[records.Record, int]],
        late_picture: dict[str, list[str]] | None = None,
        term: int = 0,
    ) -> None:
        """Become owner: rebuild everything from the records. Nothing is placed before this is complete.

        `late_picture` is the last summary of the owner before: the images on each machine. It only
        steers choices, so that it is late, or missing, does no harm. `term` is the stamp of the map that
        made us owner: every write names it. Never the stamp of the newest map seen, for that may already
        be another's, and our writes would pass under it.
        """
        with self.lock:
            self._clear()
            self.owner = True
            self.term = term
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
                place = Placement(task, attempt, machine.index, int(session), durable=True)
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

    def _book(self, job: Job, machine: Machine, place: Placement) -> None:
        job.open[place.task] = place
        machine.open[(workers.task_name(job.spec.id, place.task), place.attempt)] = place
        machine.idle_since = 0.0
        machine.take(job.spec)
        self.shares[job.team].take(job.spec)

    def _job_of(self, key: Key) -> Job:
        return self.jobs[workers.split_task(key[0])[0]]  # type: ignore[index]

    def _zone(self, machine: int) -> int | None:
        found = self.machines.get(machine)
        return None if found is None else found.zone

    def expected(self, job: Job) -> float:
        """Expected run time of one task, corrected by what has been seen of the class."""
        if job.spec.shape == SERVICE:
            return SERVICE_RUN_S
        return self.estimates.expected(job.job_class, job.spec.estimate_s)

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

    def take_batch(self, ops: int) -> Batch | None:
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
            batch = Batch({records.MAP: self.term}, [], self.term, {}, [])
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
            if not self.owner or batch.term != self.term:
                return  # its versions are those of an earlier term, and say nothing of the jobs of now
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
            if batch.term != self.term:
                return
            for name in batch.versions:
                versions = self.versions.get(name)
                job = self.jobs.get(name)
                if versions is None or job is None:
                    continue
                versions.flying = 0
                self._unpark(job, versions)

    def verified(self, began: float, term: int) -> None:
        """A comparison of the map, sent at `began`, held: we were owner then."""
        with self.lock:
            if self.owner and term == self.term:
                self.verified_at = max(self.verified_at, began)

    def _unpark(self, job: Job, versions: Versions) -> None:
        row, versions.parked = versions.parked, None
        if row is not None and row.stamp > job.stamp:
            self._merge(job, versions, row)

    def _merge(self, job: Job, versions: Versions, row: Row) -> None:
        """Somebody else's write of a job of ours: a cancellation, or a transaction given up on."""
        record = self.read_record(job.spec.id)
        if record is None:
            # Not whole yet. Its stamp must not be taken over unread: our next write would pass and wipe
            # out the cancellation that it may hold. Unread, that write conflicts, and this is tried again.
            return
        job.stamp = row.stamp
        job.pieces = max(job.pieces, records.pieces(row.value))
        versions.now += 1
        if not versions.dirty_since:
            versions.dirty_since = self.clock()
        if record.cancelled and not job.cancelled:
            self._cancel(job, record.cancelled)
            if not job.open and not record.open:  # the record is final as it stands
                versions.durable = versions.now
                self._retire(job, versions)

    def _cancel(self, job: Job, wall_at: float) -> None:
        now = self.clock()
        job.cancelled = True
        job.cancel_known = now
        job.cancelled_at = now - max(0.0, self.wall() - wall_at)
        job.waiting.clear()
        log.info("job %s cancelled, %d tasks to stop", job.spec.id, len(job.open))
        for place in job.open.values():
            self._halt(place, 0.0)

    def _halt(self, place: Placement, grace_s: float) -> None:
        """Stop a task, by a direct command if its machine can be reached."""
        place.halting, place.halt_grace = True, grace_s
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
                if versions.parked is None or row.stamp > versions.parked.stamp:
                    versions.parked = row
            elif row.stamp > job.stamp:
                self._merge(job, versions, row)

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

    def unverified_limit(self) -> float:
        """How long an owner that can't reach the state service may go on answering reports.

        Its answers keep leases alive for `lease_s` more; a cancellation that was told elsewhere right
        after the last verified moment must still see the tasks gone within `cancel_s`.
        """
        facts = self.settings.facts.workers
        return max(0.0, facts.cancel_s - facts.lease_s - 5.0)

    def dirty(self) -> int:
        """How many jobs wait for a write."""
        with self.lock:
            return sum(1 for v in self.versions.values() if v.now > v.durable and not v.flying)

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
