"""What a new leader rebuilds its state from: everything that was read before its term begins."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from bayford.clock import NEVER
from bayford.storage.watch_cache import StoredJob


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """One consistent read of the key-value store, taken in after the leadership record was won."""

    jobs: Sequence[StoredJob] = ()
    next_attempt: int = 1
    # The version of the leadership record that made this controller leader: every write of the term names
    # it. Never the version of the newest record seen: that may already be another leader's, and the writes
    # of this controller would be applied under it.
    term: int = 0
    fencing_token: int = 0
    as_of: float = NEVER  # steady clock: when the read of all this was sent
    # The images on each machine by the last load summary. They only steer choices, so that it does no harm
    # if they are out of date or missing.
    summarized_images: Mapping[str, Sequence[str]] = field(default_factory=dict)
    migration_counts: Mapping[str, Any] = field(default_factory=dict)  # by job, as stored
    zone_records: Mapping[str, Any] = field(default_factory=dict)  # by zone, as stored
