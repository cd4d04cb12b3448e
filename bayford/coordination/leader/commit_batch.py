"""What one transaction of the group commit carries."""

from dataclasses import dataclass, field

from bayford.scheduling.model import Placement
from bayford.storage.key_value_store import Put


@dataclass(frozen=True, slots=True)
class Migration:
    """A running task that is to go on elsewhere, once it is durable that it has been moved once more."""

    placement: Placement
    target: int
    decided_at: float


@dataclass(slots=True)
class CommitBatch:
    """One transaction of the group commit and what it makes durable."""

    term: int
    conditions: dict[str, int]
    puts: list[Put] = field(default_factory=list)
    tasks: dict[str, set[int]] = field(default_factory=dict)
    placements: list[Placement] = field(default_factory=list)
    over: list[str] = field(default_factory=list)
    moves: dict[str, list[Migration]] = field(default_factory=dict)  # by job
    dropped_counts: list[str] = field(default_factory=list)  # jobs whose counts of moves are deleted
