"""The state of the leader: its jobs and machines, what of them is durable, and what is to be written next.

The base of the scheduler (see `scheduler`). Everything here runs under one short lock and does no I/O.
"""

import logging
import math
import random
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Protocol, TypeVar

from bayford.clock import NEVER
from bayford.config import Settings
from bayford.coordination.leader import run_time_estimator
from bayford.coordination.leader.commit_batch import CommitBatch, Migration
from bayford.coordination.leader.leader_events import LeaderEvents
from bayford.coordination.leader.machine_registry import AttemptKey as AttemptKey
from bayford.coordination.leader.machine_registry import MachineRegistry
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import workers
from bayford.scheduling import scaling
from bayford.scheduling.model import (
    SERVICE,
    SERVICE_RUN_S,
    URGENT,
    Interner,
    Job,
    JobSpec,
    Machine,
    Placement,
)
from bayford.scheduling.policy import Policy
from bayford.scheduling.quota import TeamQuota
from bayford.spread.restarts import RestartBudget, UnreadableCountsError
from bayford.storage import records
from bayford.storage.task_log import Progress, TaskLog

log = logging.getLogger("bayford.engine")

ROOM_KEPT_S = 4.0  # how long room that was made for a job is kept for it


T = TypeVar("T")


class TaskLogSource(Protocol):
    """Gives access to the task log as far as it has been read."""

    def with_task_log(self, call: Callable[[TaskLog], T]) -> T:
        """Run something short on the task log, which `call` must not keep."""


class LeaderState(MachineRegistry):
    """Jobs, machines, shares and versions of this controller while it is leader."""

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        facts = settings.facts
        super().__init__(facts.zones)
        self.settings = settings
        self.policy = policy
        self.clock = clock
        self.wall = wall
        self.rng = rng
        self.team_names = Interner(t.name for t in facts.teams)
        self.classes = Interner()
        self.limits = StoreLimits(facts.state)
        self.run_times = run_time_estimator.RunTimeEstimator()
        self.events = LeaderEvents()
        self.task_log: TaskLogSource | None = None  # set by `Scheduler.connect`
        self.refused: dict[scaling.MachinePool, float] = {}
        # When the users want a class done: the aims of the settings, for jobs without a deadline.
        self.completion_targets_s = {
            o.job_class: o.within_s
            for o in facts.objectives
            if o.kind == "finished" and o.job_class is not None and o.within_s is not None
        }
        # Classes that the users' aims name and that may be services: how soon they start counts, how soon
        # they end does not. A job of another shape shows that its class is none.
        consecutive_exits = {o.job_class for o in facts.objectives if o.kind in ("finished", "deadline")}
        starts = [
            o for o in facts.objectives if o.kind in ("wait", "up") and o.job_class not in consecutive_exits
        ]
        self.service_classes = {o.job_class for o in starts}
        # How soon a service's replicas have to run, as far as the aims say.
        self.service_start_target_s = min((o.within_s for o in starts if o.within_s), default=0.0)
        self._clear()

    def _clear(self) -> None:
        self.clear_machines()
        self.leader = False
        self.complete = False
        self.term = -1
        self.fencing_token = 0
        self.jobs: dict[str, Job] = {}
        # Tasks whose state here is newer than the task log's, the transaction without an answer yet, and the
        # jobs that are over and have still to be closed there.
        self.dirty: dict[str, set[int]] = {}
        self.in_flight: CommitBatch | None = None
        self.pending_completions: dict[str, None] = {}
        self.next_attempt = 1
        self.stopping: dict[Placement, None] = {}
        self.quotas = [
            TeamQuota(t.name, t.cpus, t.cpus_max or math.inf, t.gpus, t.gpus_max or math.inf)
            for t in self.settings.facts.teams
        ]
        # We were leader, and every cancellation till then was known here: the sending of the last read that
        # showed the leadership record that made us leader. A comparison of the leadership record alone, or a
        # write of our own, shows no cancellation that another controller has confirmed.
        self.verified_at = NEVER
        self.last_heartbeat_received_at = NEVER
        self.leader_since = 0.0
        self.recovered_predecessor = False  # machines or work of a leader before us
        self.listed_at = NEVER  # when the cloud's last list was asked for
        self.launching: dict[scaling.MachinePool, int] = {}
        self.urgent_jobs: list[tuple[float, float]] = []  # when accepted, CPUs
        self.recent_services: list[tuple[float, JobSpec]] = []  # services accepted lately, and when
        self.service_machines: set[int] = set()  # on-demand machines that are kept for services
        self.refusals = 0
        self.starts = 0
        self.balanced_at = NEVER
        self.balance_asked = 0  # rounds in which work waited although its team has room
        self.balance_tried = 0  # jobs in them for which moves were looked for
        self.preempt_at = NEVER
        self.images_at = NEVER
        self.local_images: frozenset[int] = frozenset()
        self.moves = 0
        self.restarts = RestartBudget(
            self.policy.spread_restarts, self.policy.spread_restarts_default, self.limits.value_bytes
        )
        self.uncounted_migrations: dict[
            str, list[Migration]
        ] = {}  # moves whose counts have still to be written
        self.obsolete_counts: dict[str, None] = {}  # jobs that are over and whose counts may be deleted
        self.spread_at = NEVER
        self.zone_records: Mapping[str, Any] = MappingProxyType({})  # as the leader before has written them
        self.closed_zones: frozenset[int] = frozenset()  # where nothing is placed or launched
        self.returning_zones: frozenset[int] = frozenset()  # where work comes back in the stated order,
        self.verified_machines: frozenset[int] = frozenset()  # to these machines
        self.on_demand_needed = True

    def recover(self, recovered: RecoveredState) -> None:
        """Become leader: rebuild everything from the records. Nothing is placed before this is complete."""
        with self.lock:
            self._clear()
            self.leader = True
            self.term = recovered.term
            self.fencing_token = recovered.fencing_token
            self.next_attempt = recovered.next_attempt
            self.summarized_images = recovered.summarized_images
            now = self.leader_since = self.clock()
            self.verified_at = recovered.as_of
            for job in recovered.jobs:
                self._load(job.record, job.version, now, job.progress)
            self._load_restarts(recovered.migration_counts)
            self.zone_records = recovered.zone_records
            self.events.on_leadership_acquired()
            self.recovered_predecessor = bool(self.jobs or self.summarized_images)
            self.complete = True
            log.info(
                "leader elected: fencing_token=%d term=%d open_jobs=%d machines=%d",
                self.fencing_token,
                self.term,
                len(self.jobs),
                len(self.machines),
            )

    def _load_restarts(self, moves: Mapping[str, Any]) -> None:
        for job_id, value in moves.items():
            if job_id not in self.jobs:
                self.obsolete_counts[job_id] = None
                continue
            try:
                self.restarts.load(job_id, value)
            except UnreadableCountsError as bad:
                log.error("%s; nothing of it is moved", bad)

    def step_down(self) -> None:
        """No longer leader: drop every decision."""
        with self.lock:
            if self.leader:
                log.info("leader stepping down: fencing_token=%d term=%d", self.fencing_token, self.term)
            self._clear()

    def _load(
        self, record: records.Record, version: int, now: float, progress: Progress | None = None
    ) -> Job | None:
        spec = record.spec
        if record.over and (progress is None or not progress.open):
            return None
        team = self.team_names.find(spec.team)
        if team is None:  # the settings lost a team: its tasks still count for nobody, say so
            log.error("job %s: team %s is not in the settings", spec.id, spec.team)
            return None
        wall = self.wall()
        job = Job(
            spec,
            team,
            self.images.index(spec.image),
            self.classes.index(spec.job_class),
            None if spec.zone is None else self.zones.index(spec.zone),
            None if spec.types is None else frozenset(self.type_names.index(t) for t in spec.types),
            now - (wall - record.created),
            record.created,
            set(progress.done) if progress is not None else set(),
            version=version,
        )
        if job.done or (progress is not None and progress.open):
            job.placed_at = now
        if record.cancelled:
            job.cancelled = True
            job.cancel_known = now
            job.cancelled_at = now - max(0.0, wall - record.cancelled)
        self.jobs[spec.id] = job
        if spec.shape != SERVICE:
            self.service_classes.discard(spec.job_class)
        for task, (attempt, name, epoch) in progress.open.items() if progress is not None else ():
            machine = self.machine_named(name, now)
            placement = self.make_placement(job, task, attempt, machine, epoch)
            placement.durable = True
            self.book(job, machine, placement)
            if job.cancelled:  # the cancellation outlives the leader that saw it
                self.stop(placement, 0.0)
        if not job.cancelled:
            job.waiting = [
                t for t in range(spec.tasks - 1, -1, -1) if t not in job.done and t not in job.open
            ]
        self.queue_completion(job)
        return job

    def make_placement(self, job: Job, task: int, attempt: int, machine: Machine, epoch: int) -> Placement:
        """A placement that is not booked yet."""
        task_id = workers.task_name(job.spec.id, task)
        return Placement(job, task, attempt, machine.index, epoch, task_id)

    def book(self, job: Job, machine: Machine, placement: Placement) -> None:
        """Count a placement: from now on until evidence closes it."""
        job.open[placement.task] = placement
        machine.open[placement.key] = placement
        machine.idle_since = 0.0
        machine.reserve(job.spec)
        self.capacity_index.update(machine)
        self.quotas[job.team].reserve(job.spec)

    def expected(self, job: Job) -> float:
        """Expected run time of one task, corrected by what has been seen of the class."""
        if job.spec.shape == SERVICE:
            return SERVICE_RUN_S
        return self.run_times.expected(job.job_class, job.spec.estimate_s)

    def due_s(self, job: Job) -> float | None:
        """How long after its acceptance the job should be done: its deadline, or its class's aim, if any."""
        return job.spec.deadline_s or self.completion_targets_s.get(job.spec.job_class)

    def touch(self, job: Job, task: int) -> None:
        """The task's state has changed and has to be written."""
        self.dirty.setdefault(job.spec.id, set()).add(task)

    def is_uncommitted(self, job_id: str, task: int) -> bool:
        """Whether the last change of the task is not durable yet."""
        in_flight = {} if self.in_flight is None else self.in_flight.tasks
        return task in self.dirty.get(job_id, ()) or task in in_flight.get(job_id, ())

    def drop_job(self, name: str) -> None:
        """The job is over and closed in the task log."""
        for held in (self.jobs, self.dirty, self.pending_completions, self.uncounted_migrations):
            held.pop(name, None)
        if self.restarts.knows(name):
            self.restarts.forget(name)
            self.obsolete_counts[name] = None

    def verified(self, as_of: float, term: int) -> None:
        """A read sent at `as_of` showed the leadership record of this term, and all cancellations till then
        are known."""
        with self.lock:
            if self.leader and term == self.term:
                self.verified_at = max(self.verified_at, as_of)

    def on_cancelled(self, cancelled: dict[str, float]) -> None:
        """Another controller has confirmed these cancellations, at these times of day; the state service may
        be out of our reach. Final is final: to stop is right on any view, however old. A job that is not
        here yet starts only after a read that shows its cancellation too."""
        with self.lock:
            if not self.leader or not self.complete:
                return
            for name, wall_at in cancelled.items():
                job = self.jobs.get(name)
                if job is not None and not job.cancelled:
                    self._cancel(job, wall_at)

    def _cancel(self, job: Job, wall_at: float) -> None:
        now = self.clock()
        job.cancelled = True
        job.cancel_known = now
        job.cancelled_at = now - max(0.0, self.wall() - wall_at)
        job.waiting.clear()
        job.backing_off.clear()
        log.info("job %s cancelled, %d tasks to stop", job.spec.id, len(job.open))
        for placement in job.open.values():
            self.stop(placement, 0.0)
        self.queue_completion(job)

    def stop(self, placement: Placement, grace_s: float) -> None:
        """Stop a task, by a direct command if its machine can be reached."""
        placement.stopping, placement.stop_grace_s = True, grace_s
        self.stopping[placement] = None
        self.events.on_stop_requested(placement.machine)

    def queue_completion(self, job: Job) -> None:
        """If the job is over and on no machine, have it closed in the task log; the watch cache keeps its
        record."""
        if not job.open and (job.cancelled or job.finished):
            self.pending_completions[job.spec.id] = None

    def reconcile_job(self, record: records.Record, version: int) -> None:
        """A job's record changed in the store."""
        with self.lock:
            if not self.leader or not self.complete:
                return
            spec = record.spec
            job = self.jobs.get(spec.id)
            if job is None:
                if not record.over and self._load(record, version, self.clock()) is not None:
                    if spec.shape == SERVICE:
                        self.recent_services.append((self.clock(), spec))
                    elif spec.priority >= URGENT:
                        self.urgent_jobs = self.urgent_jobs[-20:] + [(self.clock(), spec.cpus * spec.tasks)]
                    self.events.on_job_accepted(spec)
                    log.info("job %s accepted: %d tasks", spec.id, spec.tasks)
                return
            if version <= job.version:
                return
            job.version = version
            if record.finished:
                # Our own write, whose answer was lost: the rows beside it closed the job as well.
                self.drop_job(spec.id)
            elif record.cancelled and not job.cancelled:
                self._cancel(job, record.cancelled)

    def close(self, machine: Machine, placement: Placement, now: float) -> None:
        """Only ever called on evidence: ended, a later epoch, cancelled and absent, machine deleted."""
        job = placement.job
        del machine.open[placement.key]
        self.stopping.pop(placement, None)
        if job.open.get(placement.task) is placement:
            del job.open[placement.task]
        machine.release(job.spec)
        self.capacity_index.update(machine)
        self.quotas[job.team].release(job.spec)
        if not machine.open:
            machine.idle_since = now
        self.touch(job, placement.task)
        if job.cancelled:
            self.queue_completion(job)
        elif job.is_service and placement.running_since is not None:
            job.down_since[placement.task] = (now, now - machine.last_heartbeat_at)

    @property
    def quiet_s(self) -> float:
        """How long a machine may have been unheard for a replica, or moved work, to go there."""
        return self.policy.service_quiet_heartbeats * self.settings.facts.workers.heartbeat_interval_s

    def staleness_limit(self) -> float:
        """How old a controller's view may be for it to answer reports: leader or relay, both alike.

        Its answers keep leases alive for `lease_s` more; a cancellation that was told elsewhere right after
        the read of which the view is must still see the tasks gone within `cancel_s`. What is left of
        `cancel_s` covers drifting clocks and a worker that notices late. A worker that goes from one
        controller to another gains nothing: the limit counts from a read for each of them, and no
        cancellation that either does not know was confirmed before its own.
        """
        facts = self.settings.facts.workers
        spare = max(0.0, facts.cancel_s - facts.lease_s)
        return spare - min(5.0, 0.25 * spare)

    def summary(self) -> list[tuple[str, float, list[str]]]:
        """What this controller tells the others now and then: name, load and images of its machines."""
        with self.lock:
            if not self.leader:
                return []
            return [
                (
                    m.name,
                    round(1.0 - m.free_cpus / m.cpus, 2) if m.cpus else 0.0,
                    [self.images[i] for i, there in m.images.items() if there],
                )
                for m in self.machines.values()
                if m.registered and not m.deleting
            ]

    def team_quota(self, team: str) -> TeamQuota | None:
        """The guarantee and limit of a team, None for an unknown one."""
        index = self.team_names.find(team)
        return None if index is None else self.quotas[index]
