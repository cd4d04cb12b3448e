"""Reads the heartbeats that relays have written for the leader to the key-value store."""

import logging
from dataclasses import dataclass, field

from bayford.protocol import mesh, workers
from bayford.storage import records
from bayford.storage.key_value_store import Row

log = logging.getLogger(__name__)

MAX_ROW_AGE_S = 15.0  # maximum age of a relay's rows for the leader to read heartbeats from them


@dataclass(slots=True)
class _IncompleteHeartbeat:
    """A heartbeat of which some parts have been read."""

    order: tuple[int, int]  # of the heartbeat
    total: int  # number of parts into which it was split
    received_at: float  # wall clock, when its first part was read
    parts: dict[int, workers.Heartbeat] = field(default_factory=dict)  # by number


class RelayedHeartbeats:
    """Decodes relays' rows, and joins heartbeats that a relay had to split over several rows.

    Used by one thread at a time.
    """

    def __init__(self) -> None:
        self._incomplete: dict[str, _IncompleteHeartbeat] = {}  # by machine

    def decode(self, row: Row, wall: float) -> tuple[str, list[workers.Heartbeat]]:
        """Returns the relay's name and the heartbeats that are complete with one of its rows.

        There are none if the row is old or unreadable. The rows of a relay that has stopped stay in the
        store. A new leader that treated them as current would place tasks on machines that no longer exist.
        `wall`: wall-clock time, in seconds.
        """
        name = row.key[len(records.RELAYS) :].partition("/")[0]
        if row.value is None or wall - row.value["at"] > MAX_ROW_AGE_S:
            return name, []
        try:
            parts = mesh.unpack_heartbeats(row.value["reports"])
        except ValueError as error:
            log.error("record unreadable: key=%s reason=%s", row.key, error)
            return name, []
        joined = [self._join(part, wall) for part in parts]
        return name, [heartbeat for heartbeat in joined if heartbeat is not None]

    def _join(self, part: mesh.HeartbeatPart, wall: float) -> workers.Heartbeat | None:
        """Returns the heartbeat that is complete with this part, or None if other parts are missing."""
        heartbeat = part.heartbeat
        if part.total == 1:
            return heartbeat
        self._drop_old(wall)
        incomplete = self._incomplete.get(heartbeat.machine)
        if incomplete is not None and incomplete.order > heartbeat.order:
            return None
        if incomplete is None or (incomplete.order, incomplete.total) != (heartbeat.order, part.total):
            incomplete = _IncompleteHeartbeat(heartbeat.order, part.total, wall)
            self._incomplete[heartbeat.machine] = incomplete
        incomplete.parts[part.number] = heartbeat
        if len(incomplete.parts) < part.total:
            return None
        del self._incomplete[heartbeat.machine]
        heartbeat.tasks = [task for _, other in sorted(incomplete.parts.items()) for task in other.tasks]
        return heartbeat

    def _drop_old(self, wall: float) -> None:
        """Forget heartbeats whose missing parts would be too old by now."""
        self._incomplete = {
            machine: incomplete
            for machine, incomplete in self._incomplete.items()
            if wall - incomplete.received_at <= MAX_ROW_AGE_S
        }
