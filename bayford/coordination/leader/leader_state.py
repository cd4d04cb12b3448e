"""The state of the leader: its jobs and machines, what of them is durable, and what is to be written next.

The scheduler's parts (see `scheduler`) read and change it. Everything here runs under one short lock and does
no I/O.
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

ROOM_KEPT_S = 4.0  # how long capacity that was freed for a job stays reserved for it
MAX_URGENT_JOBS = 21  # so many of the last urgent jobs are remembered
MAX_STALENESS_MARGIN_S = 5.0  # see `LeaderState.staleness_limit`
STALENESS_MARGIN_SHARE = 0.25

T = TypeVar("T")


class TaskLogSource(Protocol):
    """Gives access to the task log as far as it has been read."""

    def with_task_log(self, call: Callable[[TaskLog], T]) -> T:
        """Run something short on the task log, which `call` must not keep."""


class UrgentJob(NamedTuple):
    """An urgent job that was accepted lately."""

    accepted_at: float  # steady clock, seconds
    cpus: float  # of all its tasks together


class AcceptedService(NamedTuple):
    """A service that was accepted lately."""

    accepted_at: float  # steady clock, seconds
    spec: JobSpec


class LeaderState(MachineRegistry):
    """Jobs, machines, team quotas and versions of this controller while it is the leader.

    Every field and method is used under `lock`, but for the methods that say that they take it, and for
    single reads of `leader`, `complete`, `term`, `leader_since` and `verified_at`. Moments are seconds on the
    steady clock.
    """

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """`clock` is the steady clock, `wall` the time of day, both in seconds."""
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
        # Machine pools of which the cloud had no machine left, and until when none is asked for.
        self.refused: dict[scaling.MachinePool, float] = {}
        self.clear()

    def clear(self) -> None:
        """Drop everything that belongs to one leadership term."""
        self._clear_term()
        self.clear_machines()
        self._clear_jobs()
        self._clear_migrations()
        self._clear_scaling()
        self._clear_rounds()
        self._clear_zones()

    def _clear_term(self) -> None:
        self.leader = False
        self.complete = False  # whether everything has been rebuilt from the records
        self.term = -1
        self.fencing_token = 0
        self.leader_since = 0.0
        # At this moment this controller was the leader, and every cancellation till then was known here: the
        # sending of the last read that showed the leadership record of this term. A comparison of the
        # leadership record alone, or a write of this controller, shows no cancellation that another
        # controller has confirmed.
        self.verified_at = NEVER
        self.last_heartbeat_received_at = NEVER
        self.recovered_predecessor = False  # an earlier leader had machines or work

    def _clear_jobs(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.next_attempt = 1
        self.stopping: dict[Placement, None] = {}  # in the order in which their stops were decided
        self.quotas = [  # by team index
            TeamQuota(t.name, t.cpus, t.cpus_max or math.inf, t.gpus, t.gpus_max or math.inf)
            for t in self.settings.facts.teams
        ]
        # By job: tasks whose state here is newer than the task log's; the transaction without an answer yet;
        # and the jobs that are over and have still to be closed in the task log.
        self.dirty: dict[str, set[int]] = {}
        self.in_flight: CommitBatch | None = None
        self.pending_completions: dict[str, None] = {}

    def _clear_migrations(self) -> None:
        self.restarts = RestartBudget(
            self.policy.spread_restarts, self.policy.spread_restarts_default, self.limits.value_bytes
        )
        self.uncounted_migrations: dict[str, list[Migration]] = {}  # by job; their counts are not written yet
        self.obsolete_counts: dict[str, None] = {}  # jobs that are over and whose counts may be deleted
        self.moves = 0  # migrations that were begun

    def _clear_scaling(self) -> None:
        self.listed_at = NEVER  # when the cloud's last list of machines was asked for
        self.launching: dict[scaling.MachinePool, int] = {}  # machines asked for and not listed yet
        self.urgent_jobs: list[UrgentJob] = []
        self.recent_services: list[AcceptedService] = []
        self.service_machines: set[int] = set()  # on-demand machines that are kept for services
        self.on_demand_needed = True

    def _clear_rounds(self) -> None:
        """What the scheduling rounds remember from one to the next, and their counters."""
        self.refusals = 0  # starts that workers refused since their machines were full
        self.starts = 0  # start commands sent
        self.balanced_at = NEVER
        self.balance_asked = 0  # rounds in which work waited although its team has headroom
        self.balance_tried = 0  # jobs in them for which migrations were looked for
        self.preempt_at = NEVER  # when the next search for preemptions may begin
        self.spread_at = NEVER  # when the next migration to spread load may be looked for
        self.images_at = NEVER  # when `local_images` was worked out
        self.local_images: frozenset[int] = frozenset()

    def _clear_zones(self) -> None:
        self.zone_records: Mapping[str, Any] = MappingProxyType({})  # as the leader before wrote them
        self.closed_zones: frozenset[int] = frozenset()  # where nothing is placed or launched
        # Zones where work comes back in the stated order, and the machines in them to which it may go.
        self.returning_zones: frozenset[int] = frozenset()
        self.verified_machines: frozenset[int] = frozenset()

    def begin_term(self, recovered: RecoveredState) -> None:
        """Become leader, with no job and no machine. Nothing is placed before `complete` is set."""
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
        """No longer leader: drop every decision. Takes the lock."""
        with self.lock:
            if self.leader:
                log.info("leader stepping down: fencing_token=%d term=%d", self.fencing_token, self.term)
            self.clear()

    def verified(self, as_of: float, term: int) -> None:
        """A read sent at `as_of` showed the leadership record of this term, and all cancellations till then
        are known. Takes the lock."""
        with self.lock:
            if self.leader and term == self.term:
                self.verified_at = max(self.verified_at, as_of)

    def make_placement(self, job: Job, task: int, attempt: int, machine: Machine, epoch: int) -> Placement:
        """A placement that is not booked yet."""
        task_id = workers.task_name(job.spec.id, task)
        return Placement(job, task, attempt, machine.index, epoch, task_id)

    def book(self, job: Job, machine: Machine, placement: Placement) -> None:
        """Count a placement against machine and quota: from now on until evidence closes it."""
        job.open[placement.task] = placement
        machine.open[placement.key] = placement
        machine.idle_since = 0.0
        machine.reserve(job.spec)
        self.capacity_index.update(machine)
        self.quotas[job.team].reserve(job.spec)

    def close(self, machine: Machine, placement: Placement, now: float) -> None:
        """End a placement. Only ever called on evidence: the task ended, a later epoch, the job cancelled and
        the task absent, the machine deleted."""
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
            job.down_since[placement.task] = Downtime(now, now - machine.last_heartbeat_at)

    def stop(self, placement: Placement, grace_s: float) -> None:
        """Stop a task, by a direct command if its machine can be reached. It gets `grace_s` to save."""
        placement.stopping, placement.stop_grace_s = True, grace_s
        self.stopping[placement] = None
        self.events.on_stop_requested(placement.machine)

    def touch(self, job: Job, task: int) -> None:
        """The task's state has changed and has to be written."""
        self.dirty.setdefault(job.spec.id, set()).add(task)

    def is_uncommitted(self, job_id: str, task: int) -> bool:
        """Whether the last change of the task is not durable yet."""
        in_flight = {} if self.in_flight is None else self.in_flight.tasks
        return task in self.dirty.get(job_id, ()) or task in in_flight.get(job_id, ())

    def queue_completion(self, job: Job) -> None:
        """If the job is over and on no machine, have it closed in the task log; the watch cache keeps its
        record."""
        if not job.open and (job.cancelled or job.finished):
            self.pending_completions[job.spec.id] = None

    def drop_job(self, job_id: str) -> None:
        """Forget a job that is over and closed in the task log."""
        self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)
        self.pending_completions.pop(job_id, None)
        self.uncounted_migrations.pop(job_id, None)
        if self.restarts.knows(job_id):
            self.restarts.forget(job_id)
            self.obsolete_counts[job_id] = None

    def note_accepted(self, spec: JobSpec) -> None:
        """A job is served from now on; scaling reckons with more like it."""
        if spec.shape == SERVICE:
            self.recent_services.append(AcceptedService(self.clock(), spec))
        elif spec.priority >= URGENT:
            self.urgent_jobs = self.urgent_jobs[1 - MAX_URGENT_JOBS :]
            self.urgent_jobs.append(UrgentJob(self.clock(), spec.cpus * spec.tasks))
        self.events.on_job_accepted(spec)

    def expected(self, job: Job) -> float:
        """Expected run time of one task in seconds, corrected by what has been seen of the class."""
        if job.spec.shape == SERVICE:
            return SERVICE_RUN_S
        return self.run_times.expected(job.job_class, job.spec.estimate_s)

    def due_s(self, job: Job) -> float | None:
        """Seconds after its acceptance in which the job should be done: its deadline, or the completion
        target of its class, if any."""
        return job.spec.deadline_s or self.objectives.completion_targets_s.get(job.spec.job_class)

    def team_quota(self, team: str) -> TeamQuota | None:
        """The guarantee and limit of a team, None for an unknown one."""
        index = self.team_names.find(team)
        return None if index is None else self.quotas[index]

    @property
    def quiet_s(self) -> float:
        """Seconds since its last heartbeat after which no replica and no migrated task goes to a machine."""
        return self.policy.service_quiet_heartbeats * self.settings.facts.workers.heartbeat_interval_s

    def staleness_limit(self) -> float:
        """How many seconds old a controller's view may be for it to answer heartbeats, as leader or as relay.

        Its answers keep worker leases alive for `lease_s` more; a cancellation that another controller
        confirmed right after the read which the view is based on must still see the tasks gone within
        `cancel_s`. What is left of `cancel_s` covers drifting clocks and a worker that notices late. A worker
        that goes from one controller to another gains nothing: the limit counts from a read for each of them,
        and a cancellation that either does not know was confirmed only after its own read.
        """
        times = self.settings.facts.workers
        spare_s = max(0.0, times.cancel_s - times.lease_s)
        return spare_s - min(MAX_STALENESS_MARGIN_S, STALENESS_MARGIN_SHARE * spare_s)

    def summary(self) -> list[tuple[str, float, list[str]]]:
        """The load summary for the other controllers: name, share of CPUs in use and images of each machine;
        empty unless this controller is the leader. Takes the lock."""
        with self.lock:
            if not self.leader:
                return []
            return [
                (
                    machine.name,
                    round(1.0 - machine.free_cpus / machine.cpus, 2) if machine.cpus else 0.0,
                    [self.images[image] for image, there in machine.images.items() if there],
                )
                for machine in self.machines.values()
                if machine.registered and not machine.deleting
            ]
