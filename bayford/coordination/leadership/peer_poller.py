"""Polls the other controllers for their status periodically."""

from collections.abc import Callable

from bayford.coordination.leadership.membership import Membership
from bayford.coordination.leadership.peers import Peers
from bayford.protocol import mesh
from bayford.storage.watch_cache import WatchCache

POLL_PERIOD_S = 1.0


class PeerPoller:
    """Keeps `Peers` up to date and detects that another controller knows a higher fencing token."""

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        watch_cache: WatchCache,
        follow_record: Callable[[], None],
        on_status: Callable[[mesh.Status], None],
    ) -> None:
        """`follow_record`: called after a read of the leadership record when a higher fencing token is known.
        `on_status`: called with the status of each controller that has answered."""
        self._peers = peers
        self._membership = membership
        self._watch_cache = watch_cache
        self._follow_record = follow_record
        self._on_status = on_status

    def step(self) -> float:
        """Poll every other controller once. Returns the seconds until the next poll."""
        for status in self._peers.poll_all():
            self._membership.observe_token(status.fencing_token)
            self._on_status(status)
        if self._membership.is_superseded:
            self._watch_cache.pull(0.0)
            self._follow_record()
        return POLL_PERIOD_S
