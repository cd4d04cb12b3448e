"""The last known status of the other controllers: reachability and release."""

import logging
from collections.abc import Callable, Iterator, Mapping

from bayford.clock import NEVER
from bayford.protocol import mesh

log = logging.getLogger(__name__)

POLL_TIMEOUT_S = 0.8
# A controller counts as served by the state service for this long after the service executed one of its
# requests, or after a status that reports it as served.
SERVED_TTL_S = 3.0

# Polls one controller. Takes a time-out in seconds; returns None if there was no answer.
PollStatus = Callable[[float], mesh.Status | None]


class Peers:
    """The last status of each other controller. One thread calls `poll_all`; any thread may read."""

    def __init__(
        self,
        name: str,
        pollers: dict[str, PollStatus],
        zones: Mapping[str, str],
        release: int,
        clock: Callable[[], float],
    ) -> None:
        """`pollers`: the function that polls each other controller. `zones`: the zone of each controller,
        including this one. `release`: the release of this controller."""
        self.pollers = pollers
        self.release = release
        self.releases: dict[str, int] = {}  # by controller, as of its last status
        self.unreachable: set[str] = set()  # controllers that did not answer the last poll
        self.served_at: dict[str, float] = {}  # by controller, when it last reported being served
        self.last_status_at = NEVER  # when any controller last answered
        self._name = name
        self._zones = zones
        self._clock = clock

    def poll_all(self) -> Iterator[mesh.Status]:
        """Poll the controllers one after the other and yield each status as soon as it arrives, because a
        controller that is down takes the whole time-out."""
        for name, poll in self.pollers.items():
            status = poll(POLL_TIMEOUT_S)
            if status is None:
                self.unreachable.add(name)
                continue
            self.unreachable.discard(name)
            self.last_status_at = self._clock()
            self._record_release(name, status.release)
            if status.served:
                self.served_at[name] = self._clock()
            yield status

    def _record_release(self, name: str, release: int) -> None:
        if self.releases.get(name) == release:
            return
        self.releases[name] = release
        log.info("peer release: member=%s release=%d own_release=%d", name, release, self.release)
        if len(self.releases) == len(self.pollers) and set(self.releases.values()) == {self.release}:
            log.info("upgrade complete: controllers=%d release=%d", len(self.pollers) + 1, self.release)

    def peers_of_older_release(self) -> set[str]:
        """Returns the other controllers whose last status reported an older release than this one's."""
        return {name for name, release in self.releases.items() if release < self.release}

    def served_peers(self) -> list[str]:
        """Returns the other controllers that the state service serves, those of the same zone first."""
        now = self._clock()
        served = [name for name, at in self.served_at.items() if now - at <= SERVED_TTL_S]
        return sorted(served, key=lambda name: (self._zones.get(name) != self._zones[self._name], name))

    def reachability_by_zone(self) -> dict[str, str]:
        """Returns how many controllers of each zone are reachable, by zone, as text for the log."""
        reach = {}
        for zone in set(self._zones.values()):
            names = [name for name, peer_zone in self._zones.items() if peer_zone == zone]
            reachable = sum(name not in self.unreachable for name in names)
            reach[zone] = f"{reachable} of {len(names)} reachable"
        return reach
