"""Decides when a leader that workers cannot reach transfers leadership to a controller that they can reach.

Such a leader still renews its lease at the state service, so no failover happens. Every heartbeat and start
then goes through a relay: this is slower, allows no direct commands, and lacks the evidence needed to close a
cancelled start. The functions here are pure; `LeadershipManager` gathers the counts and writes the leadership
record.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

WINDOW_HEARTBEAT_INTERVALS = 2.5  # contact window, in heartbeat intervals
MIN_WINDOW_S = 5.0  # a worker tries the next controller 5 s after a heartbeat that was not answered
# The leader keeps leadership if its direct contact exceeds this share of the best relay's contact.
MAX_DIRECT_SHARE = 0.1
RETRY_S = 2.0  # between two attempts to write the leadership record


@dataclass(frozen=True, slots=True)
class WorkerContact:
    """Number of machines in contact with the leader, directly and through each relay."""

    direct: int
    relayed: Mapping[str, int]  # by name of the relay


def contact_window_s(heartbeat_interval_s: float) -> float:
    """How long a heartbeat counts as contact with its machine, in seconds."""
    return max(MIN_WINDOW_S, WINDOW_HEARTBEAT_INTERVALS * heartbeat_interval_s)


def choose_successor(contact: WorkerContact, candidates: Collection[str]) -> str | None:
    """Returns the controller to transfer leadership to, or None.

    It must relay for more than half of the machines in contact. The number of machines in direct contact with
    the leader must not exceed `MAX_DIRECT_SHARE` of those it relays for. If each controller reaches only some
    of the machines none qualifies, so that leadership does not move from one controller to the next and back.
    """
    eligible = {name: count for name, count in contact.relayed.items() if name in candidates}
    if not eligible:
        return None
    name, relayed = max(eligible.items(), key=lambda entry: (entry[1], entry[0]))
    in_contact = contact.direct + sum(contact.relayed.values())
    if 2 * relayed <= in_contact or contact.direct > MAX_DIRECT_SHARE * relayed:
        return None
    return name
