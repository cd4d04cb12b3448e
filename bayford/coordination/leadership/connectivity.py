"""Which of the services and controllers around it this controller reaches."""

from collections.abc import Callable

from bayford.coordination.leadership.membership import Membership
from bayford.coordination.leadership.peers import SERVED_S, Peers

ISOLATED_S = 4.0  # longer than a member's lease


class Connectivity:
    """Judges by what membership and peers last received. Any thread may ask."""

    def __init__(self, membership: Membership, peers: Peers, clock: Callable[[], float]) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._started_at = clock()

    def store_reachable(self) -> bool:
        """Whether the state service has lately executed a request of this controller."""
        return self._clock() - self._membership.last_renewed_at < SERVED_S

    def is_isolated(self) -> bool:
        """Whether this controller must be the only one that is cut off.

        For longer than a member's lease neither the state service, which in an outage at least refuses
        requests, nor any other controller has answered.
        """
        last_contact_at = max(self._membership.last_reply_at, self._peers.heard_at, self._started_at)
        return bool(self._peers.asks) and self._clock() - last_contact_at > ISOLATED_S
