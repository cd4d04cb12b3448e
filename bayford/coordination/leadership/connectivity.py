"""Whether this controller reaches the state service and the other controllers."""

from collections.abc import Callable

from bayford.coordination.leadership.membership import Membership
from bayford.coordination.leadership.peers import SERVED_TTL_S, Peers

ISOLATED_S = 4.0  # longer than the lease of a member key


class Connectivity:
    """Derives reachability from the last answers to membership requests and peer polls. Thread-safe."""

    def __init__(self, membership: Membership, peers: Peers, clock: Callable[[], float]) -> None:
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._started_at = clock()

    def is_store_reachable(self) -> bool:
        """Whether the state service has executed a membership request within the last `SERVED_TTL_S`."""
        return self._clock() - self._membership.last_renewed_at < SERVED_TTL_S

    def is_isolated(self) -> bool:
        """Whether this controller must be the only one that is cut off from the network.

        For longer than the lease of a member key, neither the state service nor any other controller has
        answered. In an outage the state service would still refuse requests, which counts as an answer.
        """
        last_contact_at = max(self._membership.last_reply_at, self._peers.last_status_at, self._started_at)
        return bool(self._peers.pollers) and self._clock() - last_contact_at > ISOLATED_S
