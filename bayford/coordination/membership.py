"""Who is alive and who owns which team.

One key holds the map: the token, the owner of each team and the incarnations that it was made for. Each
live controller keeps a leased key with its incarnation. Whoever sees an owner without a live incarnation
makes a new map and compares-and-sets it, raising the token in the same write; so a token belongs to one
map, and a controller that was replaced can neither write (its conditions name the old map's stamp) nor
command (workers drop its token).
"""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bayford.storage import records
from bayford.storage.mirror import Mirror
from bayford.storage.store import LeaseGone, Put, Row, Store, Unavailable, Unknown

log = logging.getLogger("bayford.membership")

LEASE_S = 3.0
RENEW_S = 0.9
STAGGER_S = 0.15


@dataclass(frozen=True, slots=True)
class View:
    """The map as this controller knows it."""

    token: int = 0
    stamp: int = 0
    owner: str = ""  # of all teams, at present
    incarnation: str = ""

    def mine(self, name: str, incarnation: str) -> bool:
        """Whether this very process is the owner."""
        return self.owner == name and self.incarnation == incarnation


def assign(teams: list[str], live: list[str], before: dict[str, str], self_name: str) -> dict[str, str]:
    """Owner per team, moving few: all teams stay together on one live controller."""
    kept = [owner for owner in before.values() if owner in live]
    owner = kept[0] if kept else self_name
    return dict.fromkeys(teams, owner)


class Membership:
    """Lease, members and map of one controller. `step` does the I/O and is called by one thread."""

    def __init__(
        self,
        store: Store,
        mirror: Mirror,
        name: str,
        incarnation: str,
        teams: list[str],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._mirror = mirror
        self.name = name
        self.incarnation = incarnation
        self._teams = teams
        self._clock = clock
        self._lease: int | None = None
        self._renewed = -1e18
        self.renewed = -1e18  # when the state service last did what we asked for the lease
        self._orphan_since: float | None = None
        self._lock = threading.Lock()
        self._view = View()
        self._heard_token = 0

    @property
    def view(self) -> View:
        """The map as last seen."""
        with self._lock:
            return self._view

    def heard(self, token: int) -> None:
        """Somebody (a worker, a peer) has seen this token."""
        with self._lock:
            self._heard_token = max(self._heard_token, token)

    @property
    def behind(self) -> bool:
        """Whether a higher token than ours is about: until we have read its map we command nothing."""
        with self._lock:
            return self._heard_token > self._view.token

    def on_map(self, row: Row) -> None:
        """The map changed (from the mirror)."""
        value: dict[str, Any] = row.value or {}
        owners: dict[str, str] = value.get("owners", {})
        owner = next(iter(owners.values()), "")
        view = View(int(value.get("token", 0)), row.stamp, owner, value.get("members", {}).get(owner, ""))
        with self._lock:
            if view.stamp > self._view.stamp:
                self._view = view

    def live(self) -> dict[str, str]:
        """Names and incarnations of the members in the mirror."""
        return {row.key[len(records.MEMBERS) :]: row.value for row in self._mirror.below(records.MEMBERS)}

    def is_mine(self) -> bool:
        """Whether this process is the owner by the map it knows."""
        return self.view.mine(self.name, self.incarnation)

    def step(self) -> None:
        """Keep the lease; take over if the owner is gone."""
        now = self._clock()
        if now - self._renewed >= RENEW_S:
            self._keep_lease(now)
        if self._orphaned():
            if self._orphan_since is None:
                self._orphan_since = now
            rank = sorted(self.live()).index(self.name) if self.name in self.live() else len(self.live())
            if now - self._orphan_since >= rank * STAGGER_S:
                self._take_over()
        else:
            self._orphan_since = None

    def _orphaned(self) -> bool:
        if self._mirror.revision < 0 or self.live().get(self.name) != self.incarnation:
            return False
        view = self.view
        return self.live().get(view.owner) != view.incarnation or not view.owner

    def _keep_lease(self, now: float) -> None:
        self._renewed = now
        try:
            if self._lease is not None:
                try:
                    self._store.renew(self._lease)
                    self.renewed = now
                    mirrored = self.live().get(self.name)
                    if mirrored == self.incarnation or self._mirror.revision < 0:
                        return
                except LeaseGone:
                    log.info("lease ended, taking a new one")
                    self._lease = None
            if self._lease is None:
                self._lease = self._store.lease(LEASE_S)
            key = records.MEMBERS + self.name
            outcome = self._store.commit({}, [Put(key, self.incarnation, self._lease)])
            if outcome.applied:
                self.renewed = now
                self._mirror.apply([Row(key, self.incarnation, outcome.revision)])
        except LeaseGone:
            self._lease = None
        except (Unavailable, Unknown) as bad:
            log.debug("lease: %s", bad)

    def _take_over(self) -> None:
        """Compare-and-set a new map, token raised, with ourselves as owner of the orphaned teams."""
        try:
            self._mirror.pull(0.0)
        except (Unavailable, Unknown):
            return
        if self._orphaned():
            self.claim(self.name)

    def claim(self, owner: str) -> bool:
        """Write a new map that makes `owner`, a live member, the owner of all teams."""
        view, live = self.view, self.live()
        row = self._mirror.get(records.MAP)
        before = row.value["owners"] if row is not None else {}
        kept = {t: o for t, o in before.items() if live.get(o) == view.incarnation and o != view.owner}
        owners = assign(self._teams, sorted(live), kept, owner)
        value = {"token": max(view.token, self._heard_token) + 1, "owners": owners, "members": live}
        try:
            outcome = self._store.commit({records.MAP: view.stamp}, [Put(records.MAP, value)])
        except (Unavailable, Unknown, LeaseGone) as bad:
            log.info("could not write the map: %s", bad)
            return False
        if outcome.applied:
            log.info("map: token %d, owner %s (was %s)", value["token"], owner, view.owner or "nobody")
            self._mirror.apply([Row(records.MAP, value, outcome.revision)])
        return outcome.applied
