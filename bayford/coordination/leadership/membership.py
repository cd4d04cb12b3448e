"""Who is alive and who owns which team.

One key holds the map: the token, the owner of each team and the incarnations that it was made for. Each
live controller keeps a leased key with its incarnation. Whoever sees an owner without a live incarnation
makes a new map and compares-and-sets it, raising the token in the same write; so a token belongs to one
map, and a controller that was replaced can neither write (its conditions name the old map's stamp) nor
command (workers drop its token).
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from bayford.admission import features
from bayford.clock import NEVER
from bayford.coordination.store_limits import Limits
from bayford.storage import records
from bayford.storage.key_value_store import (
    LeaseGoneError,
    OutcomeUnknownError,
    Put,
    Row,
    Store,
    UnavailableError,
)
from bayford.storage.watch_cache import Mirror

log = logging.getLogger("bayford.membership")

LEASE_S = 3.0
RENEW_S = 0.9
STAGGER_S = 0.15
LONELY_S = 1.5


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


def lonely(name: str, zones: dict[str, str]) -> bool:
    """Whether the controller after this one stands in the same zone, though there are several.

    A worker that hears nothing goes to the next controller, 4 s and 1 s a try, and its lease covers few
    tries. In a cut between zones the owner's neighbour should therefore be in the other zone.
    """
    names = sorted(zones)
    if name not in zones or len(set(zones.values())) < 2:
        return False
    return zones[names[(names.index(name) + 1) % len(names)]] == zones[name]


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
        zones: dict[str, str] | None = None,
        *,
        limits: Limits,
        older_peers: Callable[[], set[str]] = set,
        feature_names: Iterable[str] = (),
    ) -> None:
        """`zones`: where each controller, itself included, stands. `older_peers`: those in reach that run an
        older release than ours. `feature_names`: what this controller keeps to, told beside its member
        key."""
        self._features = tuple(feature_names)
        self._older_peers = older_peers
        self._zones = zones or {}
        self._limits = limits
        self._store = store
        self._mirror = mirror
        self.name = name
        self.incarnation = incarnation
        self._teams = teams
        self._clock = clock
        self._lease: int | None = None
        self._renewed = NEVER
        self.renewed = NEVER  # when the state service last did what we asked for the lease
        self.answered = NEVER  # when it last said anything, a refusal too
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

    def is_live(self, name: str, incarnation: str) -> bool:
        """Whether this very process of a controller is a member."""
        row = self._mirror.get(records.MEMBERS + name)
        return row is not None and row.value == incarnation

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
            if now - self._orphan_since >= self.turn():
                self._take_over()
        else:
            self._orphan_since = None

    def turn(self) -> float:
        """How long to leave a vacant map to those before us: one after the other, since all see it at once.
        In an upgrade the older releases are still to go, so who is new already comes first."""
        older_peers = self._older_peers()
        order = sorted(self.live(), key=lambda name: (name in older_peers, name))
        alone = LONELY_S if lonely(self.name, self._zones) else 0.0
        return order.index(self.name) * STAGGER_S + alone

    def should_succeed_older(self) -> bool:
        """Whether to take over from an owner that lives: it runs an older release, so an upgrade is on and
        it is to be killed without notice, which would cost its lease. Of those who are new the first by name
        does."""
        older_peers = self._older_peers()
        live = self.live()
        return (
            self.view.owner in older_peers
            and self.is_live(self.view.owner, self.view.incarnation)
            and self.is_live(self.name, self.incarnation)
            and self.name == min((n for n in live if n not in older_peers), default="")
        )

    def _orphaned(self) -> bool:
        if self._mirror.revision < 0 or not self.is_live(self.name, self.incarnation):
            return False
        view = self.view
        return not view.owner or not self.is_live(view.owner, view.incarnation)

    def _keep_lease(self, now: float) -> None:
        self._renewed = now
        try:
            if self._lease is not None:
                try:
                    self._store.renew(self._lease)
                    self.renewed = self.answered = now
                    if self._is_announced() or self._mirror.revision < 0:
                        return
                except LeaseGoneError:
                    log.info("lease ended, taking a new one")
                    self._lease = None
            if self._lease is None:
                self._lease = self._store.lease(LEASE_S)
            key = records.MEMBERS + self.name
            # Only over what we have seen there: a late copy of an earlier incarnation's write, which
            # would put its name and its dying lease in place of ours, then fails.
            row = self._mirror.get(key)
            stamp = 0 if row is None else row.stamp
            puts = [Put(key, self.incarnation, self._lease), *self._feature_puts()]
            outcome = self._store.commit({key: stamp}, puts)
            self.answered = now
            if outcome.applied:
                self.renewed = now
                self._mirror.apply([Row(put.key, put.value, outcome.revision) for put in puts])
            else:
                self._mirror.pull(0.0)
                self._renewed = NEVER  # again at once
        except LeaseGoneError:
            self._lease = None
        except UnavailableError as bad:
            if bad.refused:
                self.answered = now
            log.debug("lease: %s", bad)
        except OutcomeUnknownError as bad:
            log.debug("lease: %s", bad)

    def _feature_puts(self) -> list[Put]:
        """In the transaction of the member key, or a reader could take us for one that keeps to nothing."""
        if not self._features:
            return []
        value = features.value(self.incarnation, self._features)
        return [Put(records.FEATURES + self.name, value, self._lease)]

    def _is_announced(self) -> bool:
        """Whether the store says of this process what it should."""
        if not self.is_live(self.name, self.incarnation):
            return False
        row = self._mirror.get(records.FEATURES + self.name)
        wanted = features.value(self.incarnation, self._features)
        return not self._features or (row is not None and row.value == wanted)

    def _take_over(self) -> None:
        """Compare-and-set a new map, token raised, with ourselves as owner of the orphaned teams."""
        try:
            self._mirror.pull(0.0)
        except (UnavailableError, OutcomeUnknownError):
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
        value: dict[str, Any] = {
            "token": max(view.token, self._heard_token) + 1, "owners": owners, "members": live
        }  # fmt: skip
        if records.size(value) > self._limits.value_bytes:
            # With many teams and controllers it may not fit any more. All teams have one owner: its name with
            # one of them, and its incarnation, is all that any version reads.
            value["owners"] = dict(list(owners.items())[:1])
            value["members"] = {name: live[name] for name in value["owners"].values()}
        try:
            outcome = self._store.commit({records.MAP: view.stamp}, [Put(records.MAP, value)])
        except (UnavailableError, OutcomeUnknownError, LeaseGoneError) as bad:
            log.info("could not write the map: %s", bad)
            return False
        if outcome.applied:
            log.info("map: token %d, owner %s (was %s)", value["token"], owner, view.owner or "nobody")
            self._mirror.apply([Row(records.MAP, value, outcome.revision)])
        return outcome.applied
