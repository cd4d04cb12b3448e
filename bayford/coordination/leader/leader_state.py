"""In-memory state of the leader: jobs, machines, team quotas and the changes that are not written yet.

The components of the scheduler (see `scheduler`) read and change it. All code in this module runs under a
single lock, which is held only briefly, and does no I/O.
"""

import logging
import math
import random
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, Protocol, TypeVar

from bayford.clock import NEVER
from bayford.config import Settings
from bayford.coordination.leader.commit_batch import CommitBatch, Migration
from bayford.coordination.leader.leader_events import LeaderEvents
from bayford.coordination.leader.machine_registry import MachineRegistry
from bayford.coordination.leader.objectives import Objectives
from bayford.coordination.leader.recovered_state import RecoveredState
from bayford.coordination.leader.run_time_estimator import RunTimeEstimator
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import workers
from bayford.scheduling import scaling
from bayford.scheduling.model import (
    SERVICE,
    SERVICE_RUN_S,
    URGENT,
    Downtime,
    Interner,
    Job,
    JobSpec,
    Machine,
    Placement,
)
from bayford.scheduling.policy import Policy
from bayford.scheduling.quota import TeamQuota
from bayford.spread.restarts import RestartBudget
from bayford.storage.task_log import TaskLog

log = logging.getLogger(__name__)

RESERVATION_S = 4.0  # seconds for which capacity freed for a job stays reserved for it
MAX_URGENT_JOBS = 21  # number of most recent urgent jobs kept in `LeaderState.urgent_jobs`
MAX_STALENESS_MARGIN_S = 5.0  # upper bound of the margin in `LeaderState.staleness_limit`
STALENESS_MARGIN_SHARE = 0.25

T = TypeVar("T")


class TaskLogSource(Protocol):
    """Gives access to the local copy of the task log, which may lag behind the key-value store."""

    def with_task_log(self, call: Callable[[TaskLog], T]) -> T:
        """Return `call(task_log)`. The call must be short and must not keep a reference to the task log."""


class UrgentJob(NamedTuple):
    """A recently accepted job of at least urgent priority."""

    accepted_at: float  # steady clock, seconds
    cpus: float  # total over all its tasks


class AcceptedService(NamedTuple):
    """A recently accepted service."""

    accepted_at: float  # steady clock, seconds
    spec: JobSpec


class LeaderState(MachineRegistry):
    """Jobs, machines, team quotas and record versions held by this controller while it is the leader.

    Callers must hold `lock` to use a field or method. Exceptions are the methods documented to take the lock
    themselves, and single reads of `leader`, `complete`, `term`, `leader_since` and `verified_at`. Times are
    seconds on the steady clock.
    """

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create the state of a controller that is not the leader.

        `clock` returns the steady clock and `wall` the time of day, both in seconds.
        """
        facts = settings.facts
        super().__init__(facts.zones)
        self.settings = settings
        self.policy = policy
        self.clock = clock
        self.wall = wall
        self.rng = rng
        self.team_names = Interner(team.name for team in facts.teams)
        self.classes = Interner()
        self.limits = StoreLimits(facts.state)
        self.run_times = RunTimeEstimator()
        self.objectives = Objectives.of(facts.objectives)
        self.events = LeaderEvents()
        self.task_log: TaskLogSource | None = None  # set by `Scheduler.connect`
        # Machine pools in which the cloud had no capacity, with the time until which no launch is requested.
        self.refused: dict[scaling.MachinePool, float] = {}
        self.clear()

    def clear(self) -> None:
        """Reset all state that belongs to a single leadership term."""
        self._clear_term()
        self.clear_machines()
        self._clear_jobs()
        self._clear_migrations()
        self._clear_scaling()
        self._clear_rounds()
        self._clear_zones()

    def _clear_term(self) -> None:
        self.leader = False
        self.complete = False  # whether the state has been rebuilt from the stored records
        self.term = -1
        self.fencing_token = 0
        self.leader_since = 0.0
        # Time at which the last read that returned the leadership record of this term was sent. At that time
        # this controller was the leader, and it has seen every cancellation committed before then. A
        # condition on the leadership record alone, or a write by this controller, does not advance it:
        # neither returns the cancellations that another controller has confirmed.
        self.verified_at = NEVER
        self.last_heartbeat_received_at = NEVER
        self.recovered_predecessor = False  # whether an earlier leader left jobs or machines

    def _clear_jobs(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.next_attempt = 1
        self.stopping: dict[Placement, None] = {}  # in the order in which the stops were decided
        self.quotas = [  # by team index
            TeamQuota(t.name, t.cpus, t.cpus_max or math.inf, t.gpus, t.gpus_max or math.inf)
            for t in self.settings.facts.teams
        ]
        self.dirty: dict[str, set[int]] = {}  # by job id: tasks whose state is newer than the task log
        self.in_flight: CommitBatch | None = None  # the transaction that has not been answered yet
        self.pending_completions: dict[str, None] = {}  # ended jobs still to be closed in the task log

    def _clear_migrations(self) -> None:
        self.restarts = RestartBudget(
            self.policy.spread_restarts, self.policy.spread_restarts_default, self.limits.value_bytes
        )
        # By job id: migrations whose restart counts are not durable yet.
        self.uncounted_migrations: dict[str, list[Migration]] = {}
        self.obsolete_counts: dict[str, None] = {}  # ended jobs whose stored restart counts may be deleted
        self.migrations = 0  # number of migrations started

    def _clear_scaling(self) -> None:
        self.listed_at = NEVER  # when the latest machine list was requested from the cloud
        self.launching: dict[scaling.MachinePool, int] = {}  # machines requested but not listed yet
        self.urgent_jobs: list[UrgentJob] = []
        self.recent_services: list[AcceptedService] = []
        self.service_machines: set[int] = set()  # indices of on-demand machines kept for services
        self.on_demand_needed = True

    def _clear_rounds(self) -> None:
        """Reset the state that scheduling rounds carry over to the next round, and their counters."""
        self.refusals = 0  # starts that workers refused because their machines were full
        self.starts = 0  # start commands sent
        self.deferred_commands = 0  # commands left to a later response, because they did not fit into one
        self.balanced_at = NEVER
        self.balancing_rounds = 0  # rounds in which tasks waited although their team had headroom
        self.balancing_jobs = 0  # jobs in those rounds for which migrations were searched for
        self.preempt_at = NEVER  # earliest time of the next search for preemptions
        self.spread_at = NEVER  # earliest time of the next search for a migration that spreads load
        self.images_at = NEVER  # when `local_images` was computed
        self.local_images: frozenset[int] = frozenset()

    def _clear_zones(self) -> None:
        self.zone_records: Mapping[str, Any] = MappingProxyType({})  # as written by the previous leader
        self.closed_zones: frozenset[int] = frozenset()  # no tasks are placed or machines launched there
        # Zones to which work returns in the configured order, and the machines there that may receive it.
        self.returning_zones: frozenset[int] = frozenset()
        self.verified_machines: frozenset[int] = frozenset()

    def begin_term(self, recovered: RecoveredState) -> None:
        """Become leader without any jobs or machines. No task is placed until `complete` is set."""
        self.clear()
        self.leader = True
        self.term = recovered.term
        self.fencing_token = recovered.fencing_token
        self.next_attempt = recovered.next_attempt
        self.summarized_images = recovered.summarized_images
        self.leader_since = self.clock()
        self.verified_at = recovered.as_of
        self.zone_records = recovered.zone_records

    def step_down(self) -> None:
        """Stop being the leader and discard all state of the term. Takes the lock."""
        with self.lock:
            if self.leader:
                log.info("leader stepping down: fencing_token=%d term=%d", self.fencing_token, self.term)
            self.clear()

    def record_verification(self, as_of: float, term: int) -> None:
        """Record that a read sent at `as_of` returned the leadership record of this term, and that every
        cancellation committed before `as_of` has been applied. Takes the lock."""
        with self.lock:
            if self.leader and term == self.term:
                self.verified_at = max(self.verified_at, as_of)

    def make_placement(self, job: Job, task: int, attempt: int, machine: Machine, epoch: int) -> Placement:
        """Return a new placement, which reserves no capacity until `open_placement` is called."""
        task_id = workers.format_task_id(job.spec.id, task)
        return Placement(job, task, attempt, machine.index, epoch, task_id)

    def open_placement(self, job: Job, machine: Machine, placement: Placement) -> None:
        """Open a placement: reserve capacity on its machine and in its team's quota until `close`."""
        job.open[placement.task] = placement
        machine.open[placement.key] = placement
        machine.idle_since = 0.0
        machine.reserve(job)
        self.capacity_index.update(machine)
        self.quotas[job.team].reserve(job.spec)

    def close(self, machine: Machine, placement: Placement, now: float) -> None:
        """Close a placement and release its capacity.

        Only called on evidence that the task is not running: the task ended, the worker began a later epoch,
        the job was cancelled and the task is absent from a heartbeat, or the machine was deleted.
        """
        job = placement.job
        del machine.open[placement.key]
        self.stopping.pop(placement, None)
        if job.open.get(placement.task) is placement:
            del job.open[placement.task]
        machine.release(job)
        self.capacity_index.update(machine)
        self.quotas[job.team].release(job.spec)
        if not machine.open:
            machine.idle_since = now
        self.mark_dirty(job, placement.task)
        if job.cancelled:
            self.queue_completion(job)
        elif job.is_service and placement.running_since is not None:
            job.down_since[placement.task] = Downtime(now, now - machine.last_heartbeat_at)

    def stop(self, placement: Placement, grace_s: float) -> None:
        """Request the stop of a task, which has `grace_s` seconds to save a checkpoint.

        The stop is sent in a direct command if the machine is reachable.
        """
        placement.stopping, placement.stop_grace_s = True, grace_s
        self.stopping[placement] = None
        self.events.on_stop_requested(placement.machine)

    def mark_dirty(self, job: Job, task: int) -> None:
        """Mark the task's state as changed, so that the next commit writes it."""
        tasks = self.dirty.get(job.spec.id)
        if tasks is None:
            tasks = self.dirty[job.spec.id] = set()
        tasks.add(task)

    def is_uncommitted(self, job_id: str, task: int) -> bool:
        """Return whether the latest change of the task is not durable yet."""
        in_flight = {} if self.in_flight is None else self.in_flight.tasks
        return task in self.dirty.get(job_id, ()) or task in in_flight.get(job_id, ())

    def queue_completion(self, job: Job) -> None:
        """Queue the job to be closed in the task log if it has ended and has no open placement. The watch
        cache keeps its record."""
        if not job.open and (job.cancelled or job.finished):
            self.pending_completions[job.spec.id] = None

    def drop_job(self, job_id: str) -> None:
        """Remove a job that has ended and is closed in the task log."""
        self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)
        self.pending_completions.pop(job_id, None)
        self.uncounted_migrations.pop(job_id, None)
        if self.restarts.has_counts(job_id):
            self.restarts.remove_job(job_id)
            self.obsolete_counts[job_id] = None

    def record_accepted_job(self, spec: JobSpec) -> None:
        """Record an accepted job, so that scaling expects more jobs like it, and notify the listeners."""
        if spec.shape == SERVICE:
            self.recent_services.append(AcceptedService(self.clock(), spec))
        elif spec.priority >= URGENT:
            self.urgent_jobs = self.urgent_jobs[1 - MAX_URGENT_JOBS :]
            self.urgent_jobs.append(UrgentJob(self.clock(), spec.cpus * spec.tasks))
        self.events.on_job_accepted(spec)

    def expected_run_s(self, job: Job) -> float:
        """Return the expected run time of one task in seconds: the user's estimate, corrected by the observed
        run times of the job's class."""
        if job.spec.shape == SERVICE:
            return SERVICE_RUN_S
        return self.run_times.expected_run_s(job.job_class, job.spec.estimate_s)

    def due_s(self, job: Job) -> float | None:
        """Return the number of seconds after acceptance within which the job should be done: its deadline,
        otherwise the completion target of its class, otherwise None."""
        return job.spec.deadline_s or self.objectives.completion_targets_s.get(job.spec.job_class)

    def team_quota(self, team: str) -> TeamQuota | None:
        """Return the quota (guarantee and limit) of a team, or None if the team is unknown."""
        index = self.team_names.find(team)
        return None if index is None else self.quotas[index]

    @property
    def max_heartbeat_age_s(self) -> float:
        """Seconds without a heartbeat after which a machine receives no replica and no migrated task."""
        return self.policy.service_quiet_heartbeats * self.settings.facts.workers.heartbeat_interval_s

    def staleness_limit(self) -> float:
        """Return the maximum age, in seconds, of the view with which a controller may answer heartbeats, as
        leader or as relay.

        An answer extends the worker's lease by `lease_s`. A cancellation that another controller confirmed
        right after the read on which the view is based must still stop its tasks within `cancel_s`. The age
        is therefore limited to the difference of the two, less a margin for clock drift and for a worker that
        notices the end of its lease late. A worker that switches between controllers does not exceed this
        bound: for each controller the limit counts from that controller's own read, and a cancellation that
        a controller has not seen was confirmed only after its read.
        """
        times = self.settings.facts.workers
        spare_s = max(0.0, times.cancel_s - times.lease_s)
        return spare_s - min(MAX_STALENESS_MARGIN_S, STALENESS_MARGIN_SHARE * spare_s)

    def summary(self) -> list[tuple[str, float, list[str]]]:
        """Return the load summary for the other controllers: name, share of CPUs in use and fetched images of
        each machine. Empty unless this controller is the leader. Takes the lock."""
        with self.lock:
            if not self.leader:
                return []
            return [
                (
                    machine.name,
                    round(1.0 - machine.free_cpus / machine.cpus, 2) if machine.cpus else 0.0,
                    [self.images[image] for image, is_fetched in machine.images.items() if is_fetched],
                )
                for machine in self.machines.values()
                if machine.registered and not machine.deleting
            ]
