"""What the other controllers said last over the mesh: who is in reach and served, which release they run."""

import logging
from collections.abc import Callable, Iterator, Mapping

from bayford.clock import NEVER
from bayford.protocol import mesh

log = logging.getLogger("bayford.controller")

ASK_TIMEOUT_S = 0.8
SERVED_S = 3.0  # for so long "the state service serves me" holds

Ask = Callable[[float], mesh.Status | None]


class Peers:
    """The statuses of the other controllers. One thread asks, any may read."""

    def __init__(
        self,
        name: str,
        asks: dict[str, Ask],
        zones: Mapping[str, str],
        release: int,
        clock: Callable[[], float],
    ) -> None:
        """`asks`: how to ask each for its status. `zones`: of all controllers, ours included."""
        self.asks = asks
        self.release = release
        self.releases: dict[str, int] = {}  # as each last said
        self.unreachable: set[str] = set()
        self.served_at: dict[str, float] = {}  # when each last said that the state service serves it
        self.heard_at = NEVER  # when any was last heard
        self._name = name
        self._zones = zones
        self._clock = clock

    def ask_all(self) -> Iterator[mesh.Status]:
        """Ask one after the other; each answer as it comes, for those that are gone take their time."""
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
        log.info("%s runs release %d, this is %d", name, release, self.release)
        if len(self.releases) == len(self.asks) and set(self.releases.values()) == {self.release}:
            log.info("all %d controllers run release %d", len(self.asks) + 1, self.release)

    def older(self) -> set[str]:
        """Those that run an older release than ours."""
        return {name for name, release in self.releases.items() if release < self.release}

    def served(self) -> list[str]:
        """Those in reach that the state service serves, the ones in our zone first."""
        now = self._clock()
        able = [name for name, at in self.served_at.items() if now - at <= SERVED_S]
        return sorted(able, key=lambda name: (self._zones.get(name) != self._zones[self._name], name))

    def reach_by_zone(self) -> dict[str, str]:
        """Of each zone, how many of its controllers are in reach, in words."""
        out = {}
        for zone in set(self._zones.values()):
            names = [name for name, site in self._zones.items() if site == zone]
            reached = sum(name not in self.unreachable for name in names)
            out[zone] = f"{reached} of {len(names)} controllers there in reach"
        return out
