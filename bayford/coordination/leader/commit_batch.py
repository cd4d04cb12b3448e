"""What one transaction of the group commit carries."""

from dataclasses import dataclass, field

from bayford.scheduling.model import Placement
from bayford.storage.key_value_store import Put


@dataclass(frozen=True, slots=True)
class Migration:
    """A running task that is to go on elsewhere, once it is durable that it has been migrated once more."""

    placement: Placement
    target: int  # index of the machine
    decided_at: float  # steady clock, seconds


@dataclass(slots=True)
class CommitBatch:
    """One transaction of the group commit and what it makes durable. Jobs are named by their ids."""

    term: int  # of the leader that made it
    conditions: dict[str, int]  # key -> the version that it must still have
    puts: list[Put] = field(default_factory=list)
    tasks: dict[str, set[int]] = field(default_factory=dict)  # by job: tasks whose state is written
    placements: list[Placement] = field(default_factory=list)  # those that may start once it is durable
    over: list[str] = field(default_factory=list)  # jobs that it closes
    migrations: dict[str, list[Migration]] = field(default_factory=dict)  # by job; may begin once durable
    dropped_counts: list[str] = field(default_factory=list)  # jobs whose counts of migrations are deleted
