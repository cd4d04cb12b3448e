"""Data model of the scheduling decisions: jobs, placements, machines and machine types.

Names of teams, images, job classes, zones, machine types and machines are interned (`Interner`) when they
enter the leader's state, so that the hot paths compare small integers. This module has no wire names, no
clock and no I/O. `Placement`, `Job` and `Machine` are guarded by the lock of the leader's state. Unless a
comment says otherwise, points in time are seconds on the steady clock, durations are in seconds, and memory
and image sizes are in GB.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from bayford.clock import NEVER
from bayford.scheduling.failed_machines import FailedMachines
from bayford.scheduling.resources import EPS, Resources

PRIORITIES = ("idle", "normal", "urgent", "critical")
ARRAY, GANG, SERVICE = "array", "gang", "service"
SERVICE_RUN_S = 600.0  # run time assumed for a replica where an estimate is needed, since services never end
URGENT = PRIORITIES.index("urgent")
CHECKPOINT_MARGIN = 1.5  # grace period of a stopped task, as a multiple of its declared checkpoint save time

# Task name and attempt number. A plain tuple, because one is created for each task of each heartbeat.
AttemptKey = tuple[str, int]


class Interner:
    """Two-way table between names and dense indices. An index always keeps its name."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names: list[str] = []
        self._index: dict[str, int] = {}
        for name in names:
            self.index(name)

    def index(self, name: str) -> int:
        """Returns the index of `name`; a new name gets the next index."""
        index = self._index.get(name)
        if index is None:
            index = self._index[name] = len(self.names)
            self.names.append(name)
        return index

    def find(self, name: str) -> int | None:
        """Returns the index of `name`, or None if the name is unknown."""
        return self._index.get(name)

    def __getitem__(self, index: int) -> str:
        return self.names[index]

    def __len__(self) -> int:
        return len(self.names)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as submitted by its user. Stored as an array, so the field order is part of the stored format."""

    id: str
    job_class: str
    team: str
    priority: int  # index into PRIORITIES
    tasks: int  # number of tasks
    cpus: float  # per task, like gpus and mem_gb
    gpus: float
    mem_gb: float
    image: str
    image_gb: float
    types: list[str] | None  # names of the allowed machine types, None for all
    zone: str | None  # the only allowed zone, None for all
    one_zone: bool  # all tasks must run in the same zone
    spread: bool  # at most half of the tasks, rounded up, may run in one zone
    spot: bool  # whether spot machines are allowed
    estimate_s: float  # the user's estimate of one task's run time
    checkpoint_interval_s: float  # 0: the job saves no checkpoints
    checkpoint_save_s: float  # time that a task needs to save a checkpoint when it is stopped
    deadline_s: float | None  # seconds after acceptance, None for no deadline
    shape: str = ARRAY  # ARRAY, GANG or SERVICE

    @property
    def checkpoint_grace_s(self) -> float:
        """Seconds that a stopped task gets to save a checkpoint."""
        return self.checkpoint_save_s * CHECKPOINT_MARGIN


class MachineType(msgspec.Struct, frozen=True):
    """A machine type of the cloud's catalog, with its prices."""

    name: str
    cpus: float
    gpus: float
    mem_gb: float
    price: float
    spot_price: float
    boot_s: float
    fetch_gb_per_s: float  # rate at which a machine fetches images
    zones: tuple[str, ...]  # zones where it can be launched; empty for a type that is not in the catalog
    cache_gb: float = 0.0  # size of a machine's image cache, 0 if unknown

    def fits(self, spec: JobSpec) -> bool:
        """Returns whether one task of the job fits on an empty machine of this type."""
        return (
            spec.cpus <= self.cpus + EPS and spec.gpus <= self.gpus + EPS and spec.mem_gb <= self.mem_gb + EPS
        )


@dataclass(slots=True, eq=False)
class Placement:
    """One attempt of a task on a machine.

    It is open from before its start command is sent until there is evidence that the attempt has ended or can
    never start.
    """

    job: "Job"
    task: int  # number of the task within its job
    attempt: int  # unique among all attempts of the task, across leaders
    machine: int  # index of the machine
    epoch: int  # worker's epoch for which it was placed; a worker in a later epoch has lost the task
    task_id: str  # name of the task on the wire
    placed_at: float = 0.0  # 0 if an earlier leader placed it
    durable: bool = False  # committed to the key-value store; the start command is sent only after that
    started: bool = False  # a heartbeat of the machine has listed the attempt
    running_since: float | None = None  # None until a heartbeat shows it running
    stopping: bool = False  # the stop is decided; the placement stays open until a heartbeat shows its end
    stop_grace_s: float = 0.0  # seconds that the task gets to save a checkpoint
    stop_sent: bool = False  # the stop was sent as a direct command
    unpreemptable: bool = False  # placed because its job had waited long; it is never preempted

    @property
    def key(self) -> AttemptKey:
        """The task name and the attempt number."""
        return (self.task_id, self.attempt)

    @property
    def placed_by_this_leader(self) -> bool:
        """Whether this leader placed it, rather than an earlier one."""
        return self.placed_at > 0.0


class Downtime(NamedTuple):
    """The current downtime of a service's replica that ran before."""

    noticed_at: float  # when the leader detected it, in seconds on the steady clock
    unnoticed_s: float  # upper bound of the downtime before that: time since the machine's last heartbeat


@dataclass(slots=True, eq=False)
class Job:
    """The leader's state of a job. Tasks are numbered from 0 to `spec.tasks - 1`."""

    spec: JobSpec
    team: int  # index, like image, job_class, zone and types
    image: int
    job_class: int
    zone: int | None  # the only allowed zone, None for all
    types: frozenset[int] | None  # the allowed machine types, None for all
    created: float  # when it was accepted; may be earlier than the start of this process
    created_wall: float  # when it was accepted, in seconds on the wall clock
    done: set[int] = field(default_factory=set)  # completed tasks
    open: dict[int, Placement] = field(default_factory=dict)  # open placement by task
    waiting: list[int] = field(default_factory=list)  # stack of waiting tasks; the last one is placed next
    cancelled: bool = False
    cancelled_at: float = 0.0  # when the cancellation was confirmed
    cancel_learned_at: float = 0.0  # when this controller learned of the cancellation
    version: int = 0  # version of its record in the key-value store
    placed_at: float = NEVER  # when a task of the job was last placed
    report_bytes: int = 0  # of a machine's heartbeat that the entry of one task may take
    not_before: float = 0.0  # back-off: no task of the job is placed before this time
    errors: int = 0  # number of task failures
    backoff_count: int = 0  # number of back-offs of the whole job so far; each one lasts longer
    failed_runs: int = 0  # since a task completed or the job was last found to be at fault
    failed_on: FailedMachines = field(default_factory=FailedMachines)
    completed_at: float = NEVER  # when this leader last saw a task complete
    # Task -> machine that it is being migrated to.
    migration_targets: dict[int, int] = field(default_factory=dict)
    # For replicas of a service that exit by themselves: the number of exits in a row, and when the back-off
    # of a replica that exits repeatedly ends. Kept per replica, so that a failing one does not delay the
    # others.
    consecutive_exits: dict[int, int] = field(default_factory=dict)
    backing_off: dict[int, float] = field(default_factory=dict)
    down_since: dict[int, Downtime] = field(default_factory=dict)  # by replica, for those that are down
    # Number of preemptions by task, counted by this leader only.
    preemption_counts: dict[int, int] = field(default_factory=dict)
    # Whether the fleet, launching machines included, has spot machines for the job.
    has_spot_machines: bool = True
    waiting_reason: str = ""  # reason that the log gives for the wait

    @property
    def demand(self) -> Resources:
        """What one task takes of its machine."""
        return (self.spec.cpus, self.spec.gpus, self.spec.mem_gb, self.report_bytes)

    @property
    def is_service(self) -> bool:
        """Whether the job is a service, which runs until it is cancelled."""
        return self.spec.shape == SERVICE

    def requeue_backed_off(self, now: float) -> None:
        """Requeue replicas whose back-off has expired."""
        for task in [t for t, until in self.backing_off.items() if until <= now]:
            del self.backing_off[task]
            self.requeue(task)

    @property
    def finished(self) -> bool:
        """Whether all tasks are done. A finished job is never cancelled afterwards."""
        return len(self.done) == self.spec.tasks

    def record_preemption(self, task: int) -> None:
        """Count one preemption of the task."""
        self.preemption_counts[task] = self.preemption_counts.get(task, 0) + 1

    def requeue(self, task: int) -> None:
        """Put a task back at the head of the job's queue, unless the task is done or the job cancelled."""
        if task not in self.done and not self.cancelled:
            self.waiting.append(task)


class SentCommand(NamedTuple):
    """A command in the last answer to a worker; the next heartbeat should show its effect."""

    task_id: str
    attempt: int
    verb: str


@dataclass(slots=True, eq=False)
class Machine:
    """A launched machine, as described by its last heartbeat and by the cloud's last list of machines."""

    index: int
    name: str
    type: int | None = None  # index; None until a heartbeat or the cloud's list gives it
    zone: int | None = None  # index; None until known
    spot: bool = False
    cpus: float = 0.0  # 0 until the type is known, like gpus and mem_gb
    gpus: float = 0.0
    mem_gb: float = 0.0
    address: str = ""  # address of its worker, for direct commands
    epoch: int = 0  # current epoch of its worker
    sequence: int = -1  # sequence number of the last heartbeat in this epoch
    # Epoch and sequence number of the newest heartbeat that is no response to a direct command.
    heartbeat_order: tuple[int, int] = (0, -1)
    last_heartbeat_at: float = 0.0  # before the first heartbeat: when this controller learned of it
    registered: bool = False  # this controller has received a heartbeat of it
    token_acknowledged: bool = False  # a heartbeat has carried this term's fencing token, so it is answered
    sent_commands: list[SentCommand] = field(default_factory=list)  # commands in the last answer
    unacknowledged: int = 0  # consecutive answers whose commands had no effect in the heartbeats after them
    last_answered_at: float = NEVER  # when the last answer was sent
    lease_expiries: int = 0  # leases that expired despite timely answers, since the last effective answer
    relay: str = ""  # controller that relayed its last heartbeat, empty if the heartbeat came directly
    launched_at: float = 0.0
    listed: bool = False  # the cloud's list has contained it
    listed_running: bool = False  # the cloud's list has contained it as running, not only as booting
    missing_from_lists: int = 0  # consecutive lists of the cloud without it, after it had been listed
    reclaim_at: float | None = None  # when the cloud reclaims it, None without a reclaim notice
    quarantined: bool = False  # no new tasks are placed on it
    lost: bool = False  # unresponsive or stopped; nothing is expected of tasks that may still run there
    deleting: bool = False  # its deletion is decided
    failures_by_job: dict[str, int] = field(default_factory=dict)  # job id -> failures since the last success
    failed_at: float = NEVER  # when a task last failed on it
    completed_tasks: int = 0
    idle_since: float = 0.0  # 0 while it has open placements
    # image -> whether it is fetched (False: being fetched), in order of last use, the most recent at the end
    images: dict[int, bool] = field(default_factory=dict)
    open: dict[AttemptKey, Placement] = field(default_factory=dict)
    free_cpus: float = 0.0  # capacity not reserved by placements; may be negative while the type is unknown
    free_gpus: float = 0.0
    free_mem: float = 0.0  # GB
    # Bytes of its heartbeat that are left for further tasks; negative if an earlier release placed too many.
    free_report_bytes: int = 0
    unplaced_report_bytes: int = 0  # taken by listed attempts without an open placement, mostly ended ones
    backoff_until: float = 0.0  # no task is placed on the machine before this time
    reserved_for: str = ""  # id of the job for which capacity is being freed on the machine
    reserved_until: float = 0.0  # until then, only tasks of that job are placed on the machine

    @property
    def last_order(self) -> tuple[int, int]:
        """Epoch and sequence number of its newest heartbeat, by which heartbeats are ordered."""
        return (self.epoch, self.sequence)

    @property
    def free(self) -> Resources:
        """What is not reserved by placements."""
        return (self.free_cpus, self.free_gpus, self.free_mem, self.free_report_bytes)

    @property
    def usable(self) -> bool:
        """Whether new tasks may be placed on the machine."""
        return (
            self.token_acknowledged
            and self.type is not None
            and not (self.quarantined or self.deleting)
            and self.reclaim_at is None
        )

    def reserve(self, job: Job) -> None:
        """Reserve the capacity of one task of the job."""
        spec = job.spec
        self.free_report_bytes -= job.report_bytes
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_mem -= spec.mem_gb

    def release(self, job: Job) -> None:
        """Release the reserved capacity of one task of the job."""
        spec = job.spec
        self.free_report_bytes += job.report_bytes
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_mem += spec.mem_gb

    def set_unplaced_report_bytes(self, report_bytes: int) -> None:
        """Set how much of the last heartbeat is taken by attempts without an open placement.

        They keep their entries until they are reaped.
        """
        self.free_report_bytes += self.unplaced_report_bytes - report_bytes
        self.unplaced_report_bytes = report_bytes

    def has_room(self, job: Job) -> bool:
        """Returns whether the unreserved capacity suffices for one task of the job."""
        spec = job.spec
        return (
            spec.cpus <= self.free_cpus + EPS
            and spec.gpus <= self.free_gpus + EPS
            and spec.mem_gb <= self.free_mem + EPS
            and job.report_bytes <= self.free_report_bytes
        )
