"""What the decisions are about: jobs, tasks, machines and teams, by dense index.

Names become indices at the door (`Interner`), so that the hot paths compare small integers. Nothing here
knows a wire name, a clock or a socket.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from bayford.clock import NEVER

PRIORITIES = ("idle", "normal", "urgent", "critical")
ARRAY, GANG, SERVICE = "array", "gang", "service"
SERVICE_RUN_S = 600.0  # how long a replica is expected to go on, where a guess is needed: it has no end
URGENT = PRIORITIES.index("urgent")
EPS = 1e-6
CHECKPOINT_MARGIN = 1.5  # of the time that a task says it needs to save


class Interner:
    """A two-way table of names and dense indices; an index never changes its name."""

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.names: list[str] = []
        self._index: dict[str, int] = {}
        for name in names:
            self.index(name)

    def index(self, name: str) -> int:
        """The index of `name`, given out now if it is new."""
        got = self._index.get(name)
        if got is None:
            got = self._index[name] = len(self.names)
            self.names.append(name)
        return got

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
    priority: int
    tasks: int
    cpus: float
    gpus: float
    mem_gb: float
    image: str
    image_gb: float
    types: list[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float
    deadline_s: float | None
    shape: str = ARRAY

    @property
    def checkpoint_grace_s(self) -> float:
        """How long a task that is stopped is given to save."""
        return self.checkpoint_save_s * CHECKPOINT_MARGIN


class MachineType(msgspec.Struct, frozen=True):
    """One row of the cloud's catalog."""

    name: str
    cpus: float
    gpus: float
    mem_gb: float
    price: float
    spot_price: float
    boot_s: float
    fetch_gb_per_s: float
    zones: tuple[str, ...]
    cache_gb: float = 0.0

    def fits(self, spec: JobSpec) -> bool:
        """Whether one task of the job fits into an empty machine of this type."""
        return (
            spec.cpus <= self.cpus + EPS and spec.gpus <= self.gpus + EPS and spec.mem_gb <= self.mem_gb + EPS
        )


@dataclass(slots=True, eq=False)
class Placement:
    """A task on a machine: open from before its start goes out until evidence closes it."""

    job: "Job"
    task: int
    attempt: int
    machine: int
    epoch: int
    task_id: str  # the task's name
    placed_at: float = 0.0  # 0: by a leader before this one
    durable: bool = False  # committed: only then may its start go out
    started: bool = False  # the machine has been seen with it
    running_since: float | None = None
    stopping: bool = False
    stop_grace_s: float = 0.0
    stop_sent: bool = False  # by a direct command
    unpreemptable: bool = False  # it runs because its job had waited long: nobody pushes it out

    @property
    def key(self) -> tuple[str, int]:
        """Task name and attempt."""
        return (self.task_id, self.attempt)

    @property
    def placed_here(self) -> bool:
        """Whether this leader has placed it, and not one before."""
        return self.placed_at > 0.0


@dataclass(slots=True, eq=False)
class Job:
    """A job under this controller's decision."""

    spec: JobSpec
    team: int
    image: int
    job_class: int
    zone: int | None  # the only zone allowed
    types: frozenset[int] | None
    created: float  # seconds on the local steady clock; may lie before this process began
    created_wall: float
    done: set[int] = field(default_factory=set)
    open: dict[int, Placement] = field(default_factory=dict)
    waiting: list[int] = field(default_factory=list)  # a stack: the next task is last
    cancelled: bool = False
    cancelled_at: float = 0.0
    cancel_known: float = 0.0  # when this controller learned of it
    version: int = 0  # of its record
    placed_at: float = NEVER  # when a task of it was last put on a machine
    not_before: float = 0.0
    errors: int = 0
    backoff_count: int = 0  # how often it was held back because it failed everywhere
    failed_on: set[int] = field(default_factory=set)
    hints: dict[int, int] = field(default_factory=dict)  # task -> machine that the balancer chose for it
    # Replicas of a service that ended: how often in a row, and until when those that end again and again
    # rest. Each by itself, so that one that can't run keeps none of the others.
    consecutive_exits: dict[int, int] = field(default_factory=dict)
    # Replicas that were up and are not: since when that was known, and for how long it was not known by then.
    down_since: dict[int, tuple[float, float]] = field(default_factory=dict)
    backing_off: dict[int, float] = field(default_factory=dict)
    # How often tasks were stopped to make room for others, as far as this leader knows.
    preemption_counts: dict[int, int] = field(default_factory=dict)
    spot_hosts: bool = True  # whether the fleet has spot machines that it may run on
    why_waiting: str = ""

    @property
    def is_service(self) -> bool:
        """A service: it has no end but its cancellation."""
        return self.spec.shape == SERVICE

    def requeue_backed_off(self, now: float) -> None:
        """Replicas that have rested long enough wait again, for any machine: on a small site there may be
        none left on which nothing of the job has ever failed."""
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
        """The task is stopped to make room."""
        self.preemption_counts[task] = self.preemption_counts.get(task, 0) + 1

    def requeue(self, task: int) -> None:
        """Put a task that was on a machine back in front of the queue, unless nobody wants it any more."""
        if task not in self.done and not self.cancelled:
            self.waiting.append(task)


@dataclass(slots=True, eq=False)
class Machine:
    """A launched machine as last heard of; `None` of the type means that no heartbeat has named it yet."""

    index: int
    name: str
    type: int | None = None
    zone: int | None = None
    spot: bool = False
    cpus: float = 0.0
    gpus: float = 0.0
    mem_gb: float = 0.0
    address: str = ""
    epoch: int = 0
    sequence: int = -1
    last_heartbeat_at: float = 0.0  # last heartbeat, or when this controller first knew of it
    registered: bool = False  # a heartbeat of it has come to this controller
    token_acknowledged: bool = False  # it has said our token back, so it was there since we command
    sent_commands: list[tuple[str, int, str]] = field(
        default_factory=list
    )  # the last answer: task, attempt, verb
    unacknowledged: int = 0  # answers in a row of which nothing showed afterwards
    last_answered_at: float = NEVER  # when the last answer left
    lease_expiries: int = 0  # epochs that ended although it was answered, nothing heeded since
    relay: str = ""  # the controller that hears it, if not this one
    launched_at: float = 0.0
    listed: bool = False
    missing_from_lists: int = 0
    reclaim_at: float | None = None  # when the cloud takes it
    quarantined: bool = False
    lost: bool = False  # it does not hear us, or has stopped: what runs there, if anything does, is no use
    deleting: bool = False
    failed_jobs: dict[str, int] = field(default_factory=dict)
    failed_at: float = NEVER
    completed_tasks: int = 0
    idle_since: float = 0.0
    # image -> fetched (False: on its way), the one used last at the end
    images: dict[int, bool] = field(default_factory=dict)
    open: dict[tuple[str, int], Placement] = field(default_factory=dict)
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_mem: float = 0.0
    backoff_until: float = 0.0
    reserved_for: str = ""  # the job that room is being made for here
    reserved_until: float = 0.0

    @property
    def usable(self) -> bool:
        """May new tasks go there."""
        return (
            self.token_acknowledged
            and self.type is not None
            and not (self.quarantined or self.deleting)
            and self.reclaim_at is None
        )

    def reserve(self, spec: JobSpec) -> None:
        """Book one task."""
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_mem -= spec.mem_gb

    def release(self, spec: JobSpec) -> None:
        """Unbook one task."""
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_mem += spec.mem_gb

    def has_room(self, spec: JobSpec) -> bool:
        """Whether one task fits besides everything booked."""
        return (
            spec.cpus <= self.free_cpus + EPS
            and spec.gpus <= self.free_gpus + EPS
            and spec.mem_gb <= self.free_mem + EPS
        )
