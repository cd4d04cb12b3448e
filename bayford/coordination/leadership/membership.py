"""Membership of the controllers and the leadership record.

One key of the key-value store holds the leadership record: the fencing token, the leader of each team (the
same one for all teams) and the incarnations of the members that were live when the record was written. Each
live controller holds a member key with its incarnation under a lease. A controller that finds the leader's
incarnation no longer live writes a new record by compare-and-swap and raises the fencing token in the same
write. A fencing token therefore belongs to exactly one record. A controller that has been replaced cannot
write to the store, because its transactions are conditional on the version of the old record. It cannot
command workers either, because they ignore its fencing token.
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

log = logging.getLogger(__name__)

LEASE_S = 3.0  # lease of a member key
RENEWAL_PERIOD_S = 0.9
FAILOVER_STAGGER_S = 0.15  # between the attempts of successive candidates for a vacant leadership
SAME_ZONE_DELAY_S = 1.5  # additional delay of a candidate whose next controller by name is in its own zone


@dataclass(frozen=True, slots=True)
class LeadershipRecord:
    """The fields of the leadership record that this controller uses."""

    fencing_token: int = 0
    version: int = 0
    leader: str = ""  # the leader of all teams; empty before the first record
    incarnation: str = ""

    def names_process(self, name: str, incarnation: str) -> bool:
        """Whether the record names the process `incarnation` of controller `name` as the leader."""
        return self.leader == name and self.incarnation == incarnation


def is_next_controller_in_same_zone(name: str, zones: dict[str, str]) -> bool:
    """Whether the next controller by name is in the same zone as `name`, although there are several zones.

    A worker whose heartbeat is not answered tries the next controller after 4 s, and after 1 s more on each
    further attempt; its lease covers only a few attempts. In a network partition between zones the controller
    after the leader should therefore be in another zone; candidates without such a successor wait longer.
    """
    names = sorted(zones)
    if name not in zones or len(set(zones.values())) < 2:
        return False
    return zones[names[(names.index(name) + 1) % len(names)]] == zones[name]


class Membership:
    """The membership lease of one controller and its copy of the leadership record.

    `step` and `acquire_leadership` do I/O and are called by the membership thread only; everything else may
    be called by any thread.
    """

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
        """`zones`: the zone of each controller, including this one. `older_peers`: returns the controllers
        that last reported an older release than this one's. `feature_names`: the features that this
        controller supports, announced along with its member key."""
        self.name = name
        self.incarnation = incarnation
        self._store = store
        self._watch_cache = watch_cache
        self._teams = teams
        self._clock = clock
        self._zones = zones or {}
        self._limits = limits
        self._older_peers = older_peers
        self._features = tuple(feature_names)
        self._lease: int | None = None
        self._renewal_attempted_at = NEVER
        self.last_renewed_at = NEVER  # when the lease was last renewed or the member key written
        self.last_reply_at = NEVER  # when the state service last answered, including refusals
        self._vacant_since: float | None = None
        self._lock = threading.Lock()  # guards the record and the highest token; several threads set them
        self._record = LeadershipRecord()
        self._highest_token = 0

    # -- the leadership record -------------------------------------------------------------------------

    @property
    def record(self) -> LeadershipRecord:
        """The most recent leadership record that has been read."""
        with self._lock:
            return self._record

    def observe_token(self, token: int) -> None:
        """Record a fencing token reported by a worker or another controller."""
        with self._lock:
            self._highest_token = max(self._highest_token, token)

    @property
    def is_superseded(self) -> bool:
        """Whether a fencing token higher than the known record's has been reported. Until the record with
        that token has been read, this controller does not act as the leader."""
        with self._lock:
            return self._highest_token > self._record.fencing_token

    def on_leadership_record(self, row: Row) -> None:
        """Update the leadership record from its row, unless a newer version is already known."""
        value: dict[str, Any] = row.value or {}
        leaders: dict[str, str] = value.get("owners", {})  # by team; the same leader for all
        leader = next(iter(leaders.values()), "")
        incarnation = value.get("members", {}).get(leader, "")
        record = LeadershipRecord(int(value.get("token", 0)), row.version, leader, incarnation)
        with self._lock:
            if record.version > self._record.version:
                self._record = record

    def is_record_of_this_process(self, record: LeadershipRecord) -> bool:
        """Whether a leadership record names this process, not only its controller, as the leader."""
        return record.names_process(self.name, self.incarnation)

    def is_leader(self) -> bool:
        """Whether the last leadership record read names this process as the leader."""
        return self.is_record_of_this_process(self.record)

    # -- members ---------------------------------------------------------------------------------------

    def live_members(self) -> dict[str, str]:
        """Returns the incarnation of each live controller by name, according to the watch cache."""
        rows = self._watch_cache.rows_with_prefix(records.MEMBERS)
        return {row.key[len(records.MEMBERS) :]: row.value for row in rows}

    def is_live(self, name: str, incarnation: str) -> bool:
        """Whether the process `incarnation` of controller `name` is live, according to the watch cache."""
        row = self._watch_cache.get(records.MEMBERS + name)
        return row is not None and row.value == incarnation

    # -- the membership thread -------------------------------------------------------------------------

    def step(self) -> None:
        """Renew the lease when due; fail over if the leadership is vacant."""
        now = self._clock()
        if now - self._renewal_attempted_at >= RENEWAL_PERIOD_S:
            self._maintain_lease(now)
        if self._is_vacant():
            if self._vacant_since is None:
                self._vacant_since = now
            if now - self._vacant_since >= self.failover_delay_s():
                self._fail_over()
        else:
            self._vacant_since = None

    def failover_delay_s(self) -> float:
        """How long leadership must have been vacant before this controller fails over, in seconds.

        All controllers notice the vacancy at the same time, so their attempts are staggered. During an
        upgrade controllers of the new release come first, because those of older releases are yet to be
        replaced.
        """
        older_peers = self._older_peers()
        candidates = sorted(self.live_members(), key=lambda name: (name in older_peers, name))
        delay_s = SAME_ZONE_DELAY_S if is_next_controller_in_same_zone(self.name, self._zones) else 0.0
        return candidates.index(self.name) * FAILOVER_STAGGER_S + delay_s

    def should_replace_older_leader(self) -> bool:
        """Whether to take over from a live leader that runs an older release.

        During an upgrade that leader will be killed without notice, and a failover would then have to wait
        until its lease expires. Of the controllers of the new release, the first by name takes over.
        """
        older_peers = self._older_peers()
        live = self.live_members()
        record = self.record
        return (
            record.leader in older_peers
            and self.is_live(record.leader, record.incarnation)
            and self.is_live(self.name, self.incarnation)
            and self.name == min((name for name in live if name not in older_peers), default="")
        )

    def _is_vacant(self) -> bool:
        """Whether the leadership record names no live process, while this controller itself is live."""
        if self._watch_cache.revision < 0 or not self.is_live(self.name, self.incarnation):
            return False
        record = self.record
        return not record.leader or not self.is_live(record.leader, record.incarnation)

    # -- the lease -------------------------------------------------------------------------------------

    def _maintain_lease(self, now: float) -> None:
        self._renewal_attempted_at = now
        try:
            if self._renew_lease(now):
                return
            if self._lease is None:
                self._lease = self._store.grant_lease(LEASE_S)
            self._announce(self._lease, now)
        except LeaseGoneError:
            self._lease = None
        except UnavailableError as error:
            if error.refused:
                self.last_reply_at = now
            log.debug("lease not renewed: member=%s error=%s", self.name, error)
        except OutcomeUnknownError as error:
            log.debug("lease not renewed: member=%s error=%s", self.name, error)

    def _renew_lease(self, now: float) -> bool:
        """Renew the lease, if any. Returns whether it was renewed and the member key needs no write."""
        if self._lease is None:
            return False
        try:
            self._store.renew_lease(self._lease)
        except LeaseGoneError:
            log.info("lease expired: member=%s; requesting a new one", self.name)
            self._lease = None
            return False
        self.last_renewed_at = self.last_reply_at = now
        return self._is_announced() or self._watch_cache.revision < 0

    def _announce(self, lease: int, now: float) -> None:
        """Write the member key and the features of this controller under the lease."""
        key = records.MEMBERS + self.name
        # Conditional on the version last seen. A delayed write of an earlier incarnation then fails; it would
        # replace this incarnation and its lease with the earlier incarnation and an expiring lease.
        row = self._watch_cache.get(key)
        version = 0 if row is None else row.version
        puts = [Put(key, self.incarnation, lease), *self._build_feature_puts(lease)]
        outcome = self._store.compare_and_swap({key: version}, puts)
        self.last_reply_at = now
        if outcome.applied:
            self.last_renewed_at = now
            self._watch_cache.apply([Row(put.key, put.value, outcome.revision) for put in puts])
        else:
            self._watch_cache.pull(0.0)
            self._renewal_attempted_at = NEVER  # retry at the next step

    def _build_feature_puts(self, lease: int) -> list[Put]:
        """Returns the put that announces the features of this controller, if it has any. It must be in the
        transaction of the member key; otherwise a reader could assume that this controller supports none.
        """
        if not self._features:
            return []
        value = features.encode(self.incarnation, self._features)
        return [Put(records.FEATURES + self.name, value, lease)]

    def _is_announced(self) -> bool:
        """Whether the store holds the member key and the features of this process."""
        if not self.is_live(self.name, self.incarnation):
            return False
        if not self._features:
            return True
        row = self._watch_cache.get(records.FEATURES + self.name)
        return row is not None and row.value == features.encode(self.incarnation, self._features)

    # -- changes of the leader -------------------------------------------------------------------------

    def _fail_over(self) -> None:
        """Make this controller the leader if a read confirms that leadership is vacant."""
        try:
            self._watch_cache.pull(0.0)
        except (UnavailableError, OutcomeUnknownError):
            return
        if self._is_vacant():
            self.acquire_leadership(self.name)

    def acquire_leadership(self, leader: str) -> bool:
        """Write a leadership record with a raised fencing token that names `leader`, a live controller.

        Returns whether the write is known to have been applied. Errors of the store are not raised: if a
        write without an answer was applied, a later read returns its record.
        """
        previous = self.record
        value = self._build_record(leader, max(previous.fencing_token, self._highest_token) + 1)
        try:
            outcome = self._store.compare_and_swap(
                {records.LEADERSHIP: previous.version}, [Put(records.LEADERSHIP, value)]
            )
        except (UnavailableError, OutcomeUnknownError, LeaseGoneError) as error:
            log.info("leadership record not written: leader=%s error=%s", leader, error)
            return False
        if outcome.applied:
            log.info(
                "leadership record written: leader=%s fencing_token=%d previous=%s",
                leader,
                value["token"],
                previous.leader or "none",
            )
            self._watch_cache.apply([Row(records.LEADERSHIP, value, outcome.revision)])
        return outcome.applied

    def _build_record(self, leader: str, fencing_token: int) -> dict[str, Any]:
        """Returns a new leadership record in its stored form."""
        live = self.live_members()
        value: dict[str, Any] = {
            "token": fencing_token,
            "owners": dict.fromkeys(self._teams, leader),
            "members": live,
        }
        if records.encoded_size(value) > self._limits.value_bytes:
            # With many teams and controllers the record may exceed the value limit. All teams have the same
            # leader, and every release reads only its name, given for one team, and its incarnation.
            value["owners"] = dict.fromkeys(self._teams[:1], leader)
            value["members"] = {name: live[name] for name in value["owners"].values()}
        return value
