"""Polls the other controllers for their status."""

from collections.abc import Callable

from bayford.coordination.leadership.membership import Membership
from bayford.coordination.leadership.peers import Peers
from bayford.protocol import mesh
from bayford.storage.watch_cache import WatchCache

POLL_PERIOD_S = 1.0


class PeerPoller:
    """Learns from the others whether the leader is in reach and whether a higher fencing token exists."""

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        watch_cache: WatchCache,
        follow_record: Callable[[], None],
        on_status: Callable[[mesh.Status], None],
    ) -> None:
        """`follow_record`: called once a newer leadership record has been read. `on_status`: called with the
        status of each controller that has answered."""
        self._peers = peers
        self._membership = membership
        self._watch_cache = watch_cache
        self._follow_record = follow_record
        self._on_status = on_status

    def step(self) -> float:
        """Poll every other controller once."""
        for status in self._peers.ask_all():
            self._membership.observe_token(status.fencing_token)
            self._on_status(status)
        if self._membership.superseded:
            self._watch_cache.pull(0.0)
            self._follow_record()
        return POLL_PERIOD_S
