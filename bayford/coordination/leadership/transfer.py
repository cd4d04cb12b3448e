"""When a leader that workers can't reach transfers leadership to a controller that they can reach.

Such a leader keeps its lease at the state service, so no failover happens, and every heartbeat and start goes
through a relay: later, without direct commands, and without the evidence that closes a cancelled start. Pure
decisions; `LeadershipManager` gathers the counts and writes the leadership record.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

HEARTBEAT_INTERVALS = 2.5  # without a heartbeat for longer than this a machine is out of contact
MIN_WINDOW_S = 5.0  # a worker tries the next controller 5 s after its heartbeat went unanswered
DIRECT_SHARE = 0.1  # a leader with more direct contact than this share of the best relay's stays
RETRY_S = 2.0  # between two attempts to write the leadership record


@dataclass(frozen=True, slots=True)
class WorkerContact:
    """Machines in contact with the leader: by their own heartbeats, and through each relay."""

    direct: int
    relayed: Mapping[str, int]


def contact_window(heartbeat_interval_s: float) -> float:
    """For how many seconds a heartbeat counts as contact with its machine."""
    return max(MIN_WINDOW_S, HEARTBEAT_INTERVALS * heartbeat_interval_s)


def successor(contact: WorkerContact, candidates: Collection[str]) -> str | None:
    """The controller to transfer leadership to, or None.

    It must be in contact with most of the machines, and the leader with next to none of them. Where each
    controller has contact with a part of the machines none qualifies, so that leadership does not go round.
    """
    able = {name: count for name, count in contact.relayed.items() if name in candidates}
    if not able:
        return None
    name, relayed = max(able.items(), key=lambda entry: (entry[1], entry[0]))
    in_contact = contact.direct + sum(contact.relayed.values())
    if 2 * relayed <= in_contact or contact.direct > DIRECT_SHARE * relayed:
        return None
    return name
