"""The contents of one transaction of the group commit."""

from dataclasses import dataclass, field

from bayford.scheduling.model import Placement
from bayford.storage.key_value_store import Put


@dataclass(frozen=True, slots=True)
class Migration:
    """A decision to migrate a running task. It begins after the task's increased migration count is
    durable."""

    placement: Placement
    target: int  # index of the machine
    decided_at: float  # steady clock, seconds


@dataclass(slots=True)
class CommitBatch:
    """One transaction of the group commit and the decisions that it makes durable. Jobs are identified by
    their ids."""

    term: int  # leadership term in which the batch was built
    conditions: dict[str, int]  # key -> version that the key must have for the transaction to be applied
    puts: list[Put] = field(default_factory=list)
    tasks: dict[str, set[int]] = field(default_factory=dict)  # job -> tasks whose state is written
    placements: list[Placement] = field(default_factory=list)  # they may start once it is durable
    closed_jobs: list[str] = field(default_factory=list)  # jobs that the batch closes
    migrations: dict[str, list[Migration]] = field(default_factory=dict)  # job -> migrations to begin
    deleted_counts: list[str] = field(default_factory=list)  # jobs whose migration counts are deleted
