"""Who is alive and who owns which team.

One key holds the leadership record: the token, the leader of each team and the incarnations that it was made
for. Each live controller keeps a leased key with its incarnation. Whoever sees a leader without a live
incarnation makes a new leadership record and compares-and-sets it, raising the token in the same write; so a
token belongs to one map, and a controller that was replaced can neither write (its conditions name the old
map's version) nor command (workers drop its token).
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from bayford.admission import features
from bayford.clock import NEVER
from bayford.coordination.store_limits import StoreLimits
from bayford.storage import records
from bayford.storage.key_value_store import (
    KeyValueStore,
    LeaseGoneError,
    OutcomeUnknownError,
    Put,
    Row,
    UnavailableError,
)
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger("bayford.membership")

LEASE_S = 3.0
RENEW_S = 0.9
STAGGER_S = 0.15
NO_NEIGHBOUR_DELAY_S = 1.5


@dataclass(frozen=True, slots=True)
class LeadershipRecord:
    """The leadership record as this controller knows it."""

    fencing_token: int = 0
    version: int = 0
    leader: str = ""  # of all teams, at present
    incarnation: str = ""

    def names_process(self, name: str, incarnation: str) -> bool:
        """Whether this very process is the leader."""
        return self.leader == name and self.incarnation == incarnation


def assign(teams: list[str], live: list[str], before: dict[str, str], self_name: str) -> dict[str, str]:
    """Leader per team, moving few: all teams stay together on one live controller."""
    kept = [leader for leader in before.values() if leader in live]
    leader = kept[0] if kept else self_name
    return dict.fromkeys(teams, leader)


def lacks_failover_neighbour(name: str, zones: dict[str, str]) -> bool:
    """Whether the controller after this one stands in the same zone, though there are several.

    A worker that hears nothing goes to the next controller, 4 s and 1 s a try, and its lease covers few
    tries. In a cut between zones the leader's neighbour should therefore be in the other zone.
    """
    names = sorted(zones)
    if name not in zones or len(set(zones.values())) < 2:
        return False
    return zones[names[(names.index(name) + 1) % len(names)]] == zones[name]


class Membership:
    """Lease, members and map of one controller. `step` does the I/O and is called by one thread."""

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        name: str,
        incarnation: str,
        teams: list[str],
        clock: Callable[[], float],
        zones: dict[str, str] | None = None,
        *,
        limits: StoreLimits,
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
        self._watch_cache = watch_cache
        self.name = name
        self.incarnation = incarnation
        self._teams = teams
        self._clock = clock
        self._lease: int | None = None
        self._renewal_attempted_at = NEVER
        self.last_renewed_at = NEVER  # when the state service last did what we asked for the lease
        self.last_reply_at = NEVER  # when it last said anything, a refusal too
        self._vacant_since: float | None = None
        self._lock = threading.Lock()
        self._record = LeadershipRecord()
        self._highest_token = 0

    @property
    def record(self) -> LeadershipRecord:
        """The leadership record as last seen."""
        with self._lock:
            return self._record

    def observe_token(self, fencing_token: int) -> None:
        """Somebody (a worker, a peer) has seen this token."""
        with self._lock:
            self._highest_token = max(self._highest_token, fencing_token)

    @property
    def superseded(self) -> bool:
        """Whether a higher token than ours is about: until we have read its map we command nothing."""
        with self._lock:
            return self._highest_token > self._record.fencing_token

    def on_leadership_record(self, row: Row) -> None:
        """The leadership record changed (from the watch cache)."""
        value: dict[str, Any] = row.value or {}
        leaders: dict[str, str] = value.get("owners", {})
        leader = next(iter(leaders.values()), "")
        record = LeadershipRecord(
            int(value.get("token", 0)), row.version, leader, value.get("members", {}).get(leader, "")
        )
        with self._lock:
            if record.version > self._record.version:
                self._record = record

    def live_members(self) -> dict[str, str]:
        """Names and incarnations of the members in the watch cache."""
        return {
            row.key[len(records.MEMBERS) :]: row.value
            for row in self._watch_cache.rows_below(records.MEMBERS)
        }

    def is_live(self, name: str, incarnation: str) -> bool:
        """Whether this very process of a controller is a member."""
        row = self._watch_cache.get(records.MEMBERS + name)
        return row is not None and row.value == incarnation

    def is_record_of_this_process(self, record: LeadershipRecord) -> bool:
        """Whether a leadership record names this very process as the leader."""
        return record.names_process(self.name, self.incarnation)

    def is_leader(self) -> bool:
        """Whether this process is the leader by the leadership record it knows."""
        return self.is_record_of_this_process(self.record)

    def step(self) -> None:
        """Keep the lease; take over if the leader is gone."""
        now = self._clock()
        if now - self._renewal_attempted_at >= RENEW_S:
            self._keep_lease(now)
        if self._is_vacant():
            if self._vacant_since is None:
                self._vacant_since = now
            if now - self._vacant_since >= self.failover_delay_s():
                self._fail_over()
        else:
            self._vacant_since = None

    def failover_delay_s(self) -> float:
        """How long to leave a vacant map to those before us: one after the other, since all see it at once.
        In an upgrade the older releases are still to go, so who is new already comes first."""
        older_peers = self._older_peers()
        order = sorted(self.live_members(), key=lambda name: (name in older_peers, name))
        alone = NO_NEIGHBOUR_DELAY_S if lacks_failover_neighbour(self.name, self._zones) else 0.0
        return order.index(self.name) * STAGGER_S + alone

    def should_replace_older_leader(self) -> bool:
        """Whether to take over from a leader that lives: it runs an older release, so an upgrade is on and
        it is to be killed without notice, which would cost its lease. Of those who are new the first by name
        does."""
        older_peers = self._older_peers()
        live = self.live_members()
        return (
            self.record.leader in older_peers
            and self.is_live(self.record.leader, self.record.incarnation)
            and self.is_live(self.name, self.incarnation)
            and self.name == min((n for n in live if n not in older_peers), default="")
        )

    def _is_vacant(self) -> bool:
        if self._watch_cache.revision < 0 or not self.is_live(self.name, self.incarnation):
            return False
        record = self.record
        return not record.leader or not self.is_live(record.leader, record.incarnation)

    def _keep_lease(self, now: float) -> None:
        self._renewal_attempted_at = now
        try:
            if self._lease is not None:
                try:
                    self._store.renew_lease(self._lease)
                    self.last_renewed_at = self.last_reply_at = now
                    if self._is_announced() or self._watch_cache.revision < 0:
                        return
                except LeaseGoneError:
                    log.info("lease ended, taking a new one")
                    self._lease = None
            if self._lease is None:
                self._lease = self._store.grant_lease(LEASE_S)
            key = records.MEMBERS + self.name
            # Only over what we have seen there: a late copy of an earlier incarnation's write, which
            # would put its name and its dying lease in place of ours, then fails.
            row = self._watch_cache.get(key)
            version = 0 if row is None else row.version
            puts = [Put(key, self.incarnation, self._lease), *self._feature_puts()]
            outcome = self._store.compare_and_swap({key: version}, puts)
            self.last_reply_at = now
            if outcome.applied:
                self.last_renewed_at = now
                self._watch_cache.apply([Row(put.key, put.value, outcome.revision) for put in puts])
            else:
                self._watch_cache.pull(0.0)
                self._renewal_attempted_at = NEVER  # again at once
        except LeaseGoneError:
            self._lease = None
        except UnavailableError as bad:
            if bad.refused:
                self.last_reply_at = now
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
        row = self._watch_cache.get(records.FEATURES + self.name)
        wanted = features.value(self.incarnation, self._features)
        return not self._features or (row is not None and row.value == wanted)

    def _fail_over(self) -> None:
        """Compare-and-set a new leadership record, token raised, with ourselves as leader of the orphaned
        teams."""
        try:
            self._watch_cache.pull(0.0)
        except (UnavailableError, OutcomeUnknownError):
            return
        if self._is_vacant():
            self.acquire_leadership(self.name)

    def acquire_leadership(self, leader: str) -> bool:
        """Write a new leadership record that makes `leader`, a live member, the leader of all teams."""
        record, live = self.record, self.live_members()
        row = self._watch_cache.get(records.LEADERSHIP)
        before = row.value["owners"] if row is not None else {}
        kept = {t: o for t, o in before.items() if live.get(o) == record.incarnation and o != record.leader}
        leaders = assign(self._teams, sorted(live), kept, leader)
        value: dict[str, Any] = {
            "token": max(record.fencing_token, self._highest_token) + 1,
            "owners": leaders,
            "members": live,
        }
        if records.size(value) > self._limits.value_bytes:
            # With many teams and controllers it may not fit any more. All teams have one leader: its name
            # with one of them, and its incarnation, is all that any version reads.
            value["owners"] = dict(list(leaders.items())[:1])
            value["members"] = {name: live[name] for name in value["owners"].values()}
        try:
            outcome = self._store.compare_and_swap(
                {records.LEADERSHIP: record.version}, [Put(records.LEADERSHIP, value)]
            )
        except (UnavailableError, OutcomeUnknownError, LeaseGoneError) as bad:
            log.info("could not write the map: %s", bad)
            return False
        if outcome.applied:
            log.info("map: token %d, owner %s (was %s)", value["token"], leader, record.leader or "nobody")
            self._watch_cache.apply([Row(records.LEADERSHIP, value, outcome.revision)])
        return outcome.applied
