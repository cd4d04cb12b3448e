"""The last status of every other controller: whether it is in reach and what it runs."""

import logging
from collections.abc import Callable, Iterator, Mapping

from bayford.clock import NEVER
from bayford.protocol import mesh

log = logging.getLogger(__name__)

ASK_TIMEOUT_S = 0.8
SERVED_S = 3.0  # how long it holds that the state service has executed a request

Ask = Callable[[float], mesh.Status | None]  # timeout in seconds; None without an answer


class Peers:
    """One thread polls (`ask_all`), any may read."""

    def __init__(
        self,
        name: str,
        asks: dict[str, Ask],
        zones: Mapping[str, str],
        release: int,
        clock: Callable[[], float],
    ) -> None:
        """`asks`: how to poll each. `zones`: of all controllers, this one included. `release`: of this
        one."""
        self.asks = asks
        self.release = release
        self.releases: dict[str, int] = {}  # as of its last status
        self.unreachable: set[str] = set()
        self.served_at: dict[str, float] = {}  # when each last reported that the state service serves it
        self.heard_at = NEVER  # when any last answered
        self._name = name
        self._zones = zones
        self._clock = clock

    def ask_all(self) -> Iterator[mesh.Status]:
        """Poll one after the other and yield each status as it comes: a controller that is down takes its
        whole timeout."""
        for name, ask in self.asks.items():
            status = ask(ASK_TIMEOUT_S)
            if status is None:
                self.unreachable.add(name)
                continue
            self.unreachable.discard(name)
            self.heard_at = self._clock()
            self._note_release(name, status.release)
            if status.served:
                self.served_at[name] = self._clock()
            yield status

    def _note_release(self, name: str, release: int) -> None:
        if self.releases.get(name) == release:
            return
        self.releases[name] = release
        log.info("peer release: member=%s release=%d own_release=%d", name, release, self.release)
        if len(self.releases) == len(self.asks) and set(self.releases.values()) == {self.release}:
            log.info("upgrade complete: controllers=%d release=%d", len(self.asks) + 1, self.release)

    def older(self) -> set[str]:
        """Those that run an older release than this controller."""
        return {name for name, release in self.releases.items() if release < self.release}

    def served(self) -> list[str]:
        """Those that the state service serves, the ones in the zone of this controller first."""
        now = self._clock()
        able = [name for name, at in self.served_at.items() if now - at <= SERVED_S]
        return sorted(able, key=lambda name: (self._zones.get(name) != self._zones[self._name], name))

    def reach_by_zone(self) -> dict[str, str]:
        """By zone, how many of its controllers are in reach, as text for the log."""
        out = {}
        for zone in set(self._zones.values()):
            names = [name for name, site in self._zones.items() if site == zone]
            reached = sum(name not in self.unreachable for name in names)
            out[zone] = f"{reached} of {len(names)} controllers there in reach"
        return out
