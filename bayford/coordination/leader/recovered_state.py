"""The stored data from which a new leader rebuilds its state, read before its term begins."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from bayford.clock import NEVER
from bayford.storage.watch_cache import StoredJob


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """A consistent read of the key-value store, made after acquiring the leadership record."""

    jobs: Sequence[StoredJob] = ()
    next_attempt: int = 1
    # Version of the leadership record that made this controller leader; every write of the term has it as a
    # condition. It must not be the version of the newest record read: that record may already name another
    # leader, and the writes of this controller would be applied during that leader's term.
    term: int = 0
    fencing_token: int = 0
    as_of: float = NEVER  # when the read was sent, in seconds on the steady clock
    # Image names by machine name, from the last load summary. They only influence placement preferences, so
    # outdated or missing entries are harmless.
    summarized_images: Mapping[str, Sequence[str]] = field(default_factory=dict)
    migration_counts: Mapping[str, Any] = field(default_factory=dict)  # by job id, as stored
    zone_records: Mapping[str, Any] = field(default_factory=dict)  # by zone, as stored
