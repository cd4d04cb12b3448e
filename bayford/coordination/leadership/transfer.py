"""When a leader that workers can't reach hands its work to a controller that they can reach.

Such a leader keeps its lease at the state service, so nobody takes over from it, and every heartbeat and
start goes through a relay: later, without direct commands, and without the evidence that closes a cancelled
start. Pure decisions; `Controller` gathers the counts and writes the leadership record.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

HEARTBEAT_INTERVALS = 2.5  # a machine that has been heard within so many of them is in contact
LEAST_WINDOW_S = 5.0  # a worker tries the next controller 5 s after its heartbeat went unanswered
DIRECT_SHARE = 0.1  # a leader that hears more than this of what a relay hears keeps its work
RETRY_S = 2.0  # between two attempts to write the leadership record


@dataclass(frozen=True, slots=True)
class WorkerContact:
    """How many machines the leader has heard lately: by their own reports, and through each relay."""

    direct: int
    relayed: Mapping[str, int]


def contact_window(heartbeat_interval_s: float) -> float:
    """For how many seconds a heartbeat counts as contact with its machine."""
    return max(LEAST_WINDOW_S, HEARTBEAT_INTERVALS * heartbeat_interval_s)


def successor(contact: WorkerContact, candidates: Collection[str]) -> str | None:
    """The controller to hand over to, or None.

    It must hear most of the machines in contact, and the leader next to none of them. Where each controller
    hears a part of the machines nobody qualifies, so that leadership does not go round.
    """
    able = {name: count for name, count in contact.relayed.items() if name in candidates}
    if not able:
        return None
    name, heard = max(able.items(), key=lambda entry: (entry[1], entry[0]))
    in_contact = contact.direct + sum(contact.relayed.values())
    if 2 * heard <= in_contact or contact.direct > DIRECT_SHARE * heard:
        return None
    return name
