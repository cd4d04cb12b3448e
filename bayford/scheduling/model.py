"""What the decisions are about: jobs, tasks, machines and teams, by dense index.

Names become indices (`Interner`) when they enter the leader's state, so that the hot paths compare small
integers. Nothing here knows a wire name, a clock or a socket. `Placement`, `Job` and `Machine` are guarded by
the lock of the leader's state. Unless a comment says otherwise, moments are seconds on the steady clock,
durations seconds, memory and images GB.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from bayford.clock import NEVER

PRIORITIES = ("idle", "normal", "urgent", "critical")
ARRAY, GANG, SERVICE = "array", "gang", "service"
SERVICE_RUN_S = 600.0  # how long a replica is expected to go on, where a guess is needed: it has no end
URGENT = PRIORITIES.index("urgent")
EPS = 1e-6
CHECKPOINT_MARGIN = 1.5  # grace of a task that is stopped, by the time that it says it needs to save

# Task name and attempt. A bare tuple, since one is made for each task of each heartbeat.
AttemptKey = tuple[str, int]


class Interner:
    """A two-way table of names and dense indices; an index never changes its name."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names: list[str] = []
        self._index: dict[str, int] = {}
        for name in names:
            self.index(name)

    def index(self, name: str) -> int:
        """The index of `name`, given out now if it is new."""
        index = self._index.get(name)
        if index is None:
            index = self._index[name] = len(self.names)
            self.names.append(name)
        return index

    def find(self, name: str) -> int | None:
        """The index of `name` if it has one."""
        return self._index.get(name)

    def __getitem__(self, index: int) -> str:
        return self.names[index]

    def __len__(self) -> int:
        return len(self.names)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as its user described it. Stored as an array, so the field order is part of the record."""

    id: str
    job_class: str
    team: str
    priority: int  # index into PRIORITIES
    tasks: int  # how many
    cpus: float  # of one task, as are gpus and mem_gb
    gpus: float
    mem_gb: float
    image: str
    image_gb: float
    types: list[str] | None  # names of the machine types allowed, None for all
    zone: str | None  # the only zone allowed, None for all
    one_zone: bool  # all tasks have to be in the same zone
    spread: bool  # at most half of the tasks, rounded up, may be in one zone
    spot: bool  # spot machines are allowed
    estimate_s: float  # run time of one task as its user guesses it
    checkpoint_interval_s: float  # 0: it saves no checkpoints
    checkpoint_save_s: float  # in which it saves one when it is stopped
    deadline_s: float | None  # after its acceptance
    shape: str = ARRAY  # ARRAY, GANG or SERVICE

    @property
    def checkpoint_grace_s(self) -> float:
        """Seconds that a task which is stopped is given to save."""
        return self.checkpoint_save_s * CHECKPOINT_MARGIN


class MachineType(msgspec.Struct, frozen=True):
    """One row of the cloud's catalog, with its prices."""

    name: str
    cpus: float
    gpus: float
    mem_gb: float
    price: float
    spot_price: float
    boot_s: float
    fetch_gb_per_s: float  # rate at which a machine fetches images
    zones: tuple[str, ...]  # where it can be launched; none for a type that the catalog lacks
    cache_gb: float = 0.0  # size of a machine's image cache; 0: unknown

    def fits(self, spec: JobSpec) -> bool:
        """Whether one task of the job fits into an empty machine of this type."""
        return (
            spec.cpus <= self.cpus + EPS and spec.gpus <= self.gpus + EPS and spec.mem_gb <= self.mem_gb + EPS
        )


@dataclass(slots=True, eq=False)
class Placement:
    """A task on a machine: open from before its start goes out until evidence closes it."""

    job: "Job"
    task: int  # number of the task in its job
    attempt: int  # never used twice for a task, whichever leader places it
    machine: int  # index
    epoch: int  # of the machine's agent for which it was placed; a later epoch has lost it
    task_id: str  # the task's name on the wire
    placed_at: float = 0.0  # 0: by an earlier leader
    durable: bool = False  # committed: only then may its start go out
    started: bool = False  # a heartbeat of the machine has listed it
    running_since: float | None = None  # None: not seen running yet
    stopping: bool = False  # its stop is decided; it is open until the machine's heartbeat shows its end
    stop_grace_s: float = 0.0  # seconds that it gets to save a checkpoint
    stop_sent: bool = False  # by a direct command
    unpreemptable: bool = False  # it was placed because its job had waited long: nothing preempts it

    @property
    def key(self) -> AttemptKey:
        """Task name and attempt."""
        return (self.task_id, self.attempt)

    @property
    def placed_here(self) -> bool:
        """Whether this leader has placed it, and not an earlier one."""
        return self.placed_at > 0.0


class Downtime(NamedTuple):
    """A replica of a service that was running and is not."""

    noticed_at: float  # steady clock, seconds
    unnoticed_s: float  # how long it may have been down by then: since its machine's last heartbeat


@dataclass(slots=True, eq=False)
class Job:
    """A job that the leader decides about. Tasks are numbers from 0 to `spec.tasks - 1`."""

    spec: JobSpec
    team: int  # index, as are the image, the class, the zone and the types
    image: int
    job_class: int
    zone: int | None  # the only zone allowed, None for all
    types: frozenset[int] | None  # the machine types allowed, None for all
    created: float  # when it was accepted; may lie before this process began
    created_wall: float  # the same as time of day
    done: set[int] = field(default_factory=set)  # tasks
    open: dict[int, Placement] = field(default_factory=dict)  # by task
    waiting: list[int] = field(default_factory=list)  # a stack of tasks: the next one is last
    cancelled: bool = False
    cancelled_at: float = 0.0  # when the cancellation was confirmed
    cancel_known: float = 0.0  # when this controller learned of it
    version: int = 0  # of its record in the key-value store
    placed_at: float = NEVER  # when a task of it was last put on a machine
    not_before: float = 0.0  # back-off: no task of it is placed earlier
    errors: int = 0  # tasks that failed
    backoff_count: int = 0  # how often it was backed off because it failed everywhere
    failed_on: set[int] = field(default_factory=set)  # machines that it avoids
    hints: dict[int, int] = field(default_factory=dict)  # task -> machine that the balancer chose for it
    # Replicas of a service that ended by themselves: how often in a row, and until when those that end again
    # and again are backed off. Each by itself, so that one that can't run delays none of the others.
    consecutive_exits: dict[int, int] = field(default_factory=dict)
    backing_off: dict[int, float] = field(default_factory=dict)
    down_since: dict[int, Downtime] = field(default_factory=dict)  # by replica
    # How often each task was preempted, as far as this leader knows.
    preemption_counts: dict[int, int] = field(default_factory=dict)
    spot_hosts: bool = True  # whether the fleet has spot machines that it may run on
    why_waiting: str = ""  # for the log

    @property
    def is_service(self) -> bool:
        """A service: it has no end but its cancellation."""
        return self.spec.shape == SERVICE

    def requeue_backed_off(self, now: float) -> None:
        """Replicas whose back-off is over wait again, for any machine: on a small site there may be none left
        on which nothing of the job has ever failed. Only while there are such replicas."""
        if min(self.backing_off.values()) <= now:
            self.failed_on.clear()
        for task in [t for t, until in self.backing_off.items() if until <= now]:
            del self.backing_off[task]
            self.requeue(task)

    @property
    def finished(self) -> bool:
        """All tasks done. A done job is never cancelled afterwards."""
        return len(self.done) == self.spec.tasks

    def note_preemption(self, task: int) -> None:
        """The task is preempted."""
        self.preemption_counts[task] = self.preemption_counts.get(task, 0) + 1

    def requeue(self, task: int) -> None:
        """Put a task that was on a machine back in front of the queue, unless it is done or cancelled."""
        if task not in self.done and not self.cancelled:
            self.waiting.append(task)


class SentCommand(NamedTuple):
    """A command as it was sent, whose effect a later heartbeat has to show."""

    task_id: str
    attempt: int
    verb: str


@dataclass(slots=True, eq=False)
class Machine:
    """A launched machine as its last heartbeat and the cloud's last list show it."""

    index: int
    name: str
    type: int | None = None  # index; None until a heartbeat or the cloud's list has named it
    zone: int | None = None  # index; None until known
    spot: bool = False
    cpus: float = 0.0  # 0 until its type is known, as are gpus and mem_gb
    gpus: float = 0.0
    mem_gb: float = 0.0
    address: str = ""  # of its agent, for direct commands
    epoch: int = 0  # of its agent
    sequence: int = -1  # of its last heartbeat in this epoch
    last_heartbeat_at: float = 0.0  # last heartbeat, or when this controller first knew of it
    registered: bool = False  # a heartbeat of it has come to this controller
    token_acknowledged: bool = False  # a heartbeat has named this term's fencing token: it gets answers
    sent_commands: list[SentCommand] = field(default_factory=list)  # of the last answer
    unacknowledged: int = 0  # answers in a row without any effect in the heartbeats after them
    last_answered_at: float = NEVER  # when the last answer left
    lease_expiries: int = 0  # epochs that ended although it was answered, since it last acted on an answer
    relay: str = ""  # the controller that its last heartbeat came through, empty if it came directly
    launched_at: float = 0.0
    listed: bool = False  # the cloud's list has had it
    missing_from_lists: int = 0  # how often the list lacked it afterwards
    reclaim_at: float | None = None  # when the cloud reclaims it, if it has given notice
    quarantined: bool = False  # it gets no more work
    lost: bool = False  # it is unresponsive or has stopped: what runs there, if anything does, is of no use
    deleting: bool = False  # its deletion is decided
    failed_jobs: dict[str, int] = field(default_factory=dict)  # job id -> tasks that failed, none done since
    failed_at: float = NEVER  # when a task last failed on it
    completed_tasks: int = 0
    idle_since: float = 0.0  # 0 while it has placements
    # image -> fetched (False: on its way), the one used last at the end
    images: dict[int, bool] = field(default_factory=dict)
    open: dict[AttemptKey, Placement] = field(default_factory=dict)
    free_cpus: float = 0.0  # not reserved by placements; below 0 while the type is not known
    free_gpus: float = 0.0
    free_mem: float = 0.0  # GB
    backoff_until: float = 0.0  # no task is placed on it earlier
    reserved_for: str = ""  # the job for which capacity is being freed here
    reserved_until: float = 0.0

    @property
    def usable(self) -> bool:
        """Whether new tasks may go there."""
        return (
            self.token_acknowledged
            and self.type is not None
            and not (self.quarantined or self.deleting)
            and self.reclaim_at is None
        )

    def reserve(self, spec: JobSpec) -> None:
        """Count one task against the machine's capacity."""
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_mem -= spec.mem_gb

    def release(self, spec: JobSpec) -> None:
        """Undo `reserve` for one task."""
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_mem += spec.mem_gb

    def has_room(self, spec: JobSpec) -> bool:
        """Whether one task fits beside everything reserved."""
        return (
            spec.cpus <= self.free_cpus + EPS
            and spec.gpus <= self.free_gpus + EPS
            and spec.mem_gb <= self.free_mem + EPS
        )
