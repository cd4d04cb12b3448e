"""Which controllers are alive, and which of them leads.

One key of the store holds the leadership record: the fencing token, the leader of each team (the same one for
all) and the incarnations that the record was made for. Each live controller keeps a key with its incarnation
under a lease. A controller that sees a leader without a live incarnation writes a new record by
compare-and-swap and raises the fencing token in the same write. So a token belongs to one record, and a
controller that was replaced can neither write, since its conditions name the old record's version, nor
command, since workers drop its token.
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

LEASE_S = 3.0  # of a member's key
RENEWAL_PERIOD_S = 0.9
FAILOVER_STAGGER_S = 0.15  # between one candidate for a vacant leadership and the next
NO_NEIGHBOUR_DELAY_S = 1.5  # longer, for a candidate whose workers' next choice is in its own zone


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


def lacks_failover_neighbour(name: str, zones: dict[str, str]) -> bool:
    """Whether the controller after this one is in the same zone, though there are several zones.

    A worker without an answer goes on to the next controller, after 4 s and 1 s more for each try, and its
    lease covers few tries. In a cut between zones the leader's neighbour should therefore be in the other
    zone.
    """
    names = sorted(zones)
    if name not in zones or len(set(zones.values())) < 2:
        return False
    return zones[names[(names.index(name) + 1) % len(names)]] == zones[name]


class Membership:
    """The lease, the members and the leadership record of one controller.

    `step` and `acquire_leadership` do I/O and are called by the membership thread alone; everything else may
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
        """`zones`: the zone of each controller, this one included. `older_peers`: the controllers in reach
        that run an older release than this one. `feature_names`: what this controller keeps to, announced
        beside its member key."""
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
        self.last_renewed_at = NEVER  # when the state service last executed a request for the lease
        self.last_reply_at = NEVER  # when it last answered anything, a refusal too
        self._vacant_since: float | None = None
        self._lock = threading.Lock()  # guards the record and the highest token, which several threads set
        self._record = LeadershipRecord()
        self._highest_token = 0

    # -- the leadership record -------------------------------------------------------------------------

    @property
    def record(self) -> LeadershipRecord:
        """The leadership record as last read."""
        with self._lock:
            return self._record

    def observe_token(self, token: int) -> None:
        """Note a fencing token that a worker or another controller has seen."""
        with self._lock:
            self._highest_token = max(self._highest_token, token)

    @property
    def superseded(self) -> bool:
        """Whether a higher fencing token than that of the known record exists. Until its record has been
        read, this controller commands nothing."""
        with self._lock:
            return self._highest_token > self._record.fencing_token

    def on_leadership_record(self, row: Row) -> None:
        """Take in the leadership record's row, unless a newer one is known."""
        value: dict[str, Any] = row.value or {}
        leaders: dict[str, str] = value.get("owners", {})  # by team, all the same
        leader = next(iter(leaders.values()), "")
        incarnation = value.get("members", {}).get(leader, "")
        record = LeadershipRecord(int(value.get("token", 0)), row.version, leader, incarnation)
        with self._lock:
            if record.version > self._record.version:
                self._record = record

    def is_record_of_this_process(self, record: LeadershipRecord) -> bool:
        """Whether a leadership record names this very process as the leader."""
        return record.names_process(self.name, self.incarnation)

    def is_leader(self) -> bool:
        """Whether this process is the leader by the leadership record it knows."""
        return self.is_record_of_this_process(self.record)

    # -- members ---------------------------------------------------------------------------------------

    def live_members(self) -> dict[str, str]:
        """Names and incarnations of the live controllers, by the watch cache."""
        rows = self._watch_cache.rows_below(records.MEMBERS)
        return {row.key[len(records.MEMBERS) :]: row.value for row in rows}

    def is_live(self, name: str, incarnation: str) -> bool:
        """Whether this very process of a controller is live, by the watch cache."""
        row = self._watch_cache.get(records.MEMBERS + name)
        return row is not None and row.value == incarnation

    # -- the membership thread -------------------------------------------------------------------------

    def step(self) -> None:
        """Keep the lease; fail over if there is no leader."""
        now = self._clock()
        if now - self._renewal_attempted_at >= RENEWAL_PERIOD_S:
            self._keep_lease(now)
        if self._is_vacant():
            if self._vacant_since is None:
                self._vacant_since = now
            if now - self._vacant_since >= self.failover_delay_s():
                self._fail_over()
        else:
            self._vacant_since = None

    def failover_delay_s(self) -> float:
        """How long this controller leaves a vacant leadership to others.

        All see the vacancy at once, so they try one after the other. In an upgrade the older releases are
        still to be replaced: controllers of the new release come first.
        """
        older_peers = self._older_peers()
        candidates = sorted(self.live_members(), key=lambda name: (name in older_peers, name))
        delay_s = NO_NEIGHBOUR_DELAY_S if lacks_failover_neighbour(self.name, self._zones) else 0.0
        return candidates.index(self.name) * FAILOVER_STAGGER_S + delay_s

    def should_replace_older_leader(self) -> bool:
        """Whether to take over from a live leader that runs an older release.

        An upgrade is under way, and that leader is going to be killed without notice, which would cost its
        lease. Of the controllers of the new release the first by name takes over.
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
        """Whether this controller is live and the leadership record names no live process."""
        if self._watch_cache.revision < 0 or not self.is_live(self.name, self.incarnation):
            return False
        record = self.record
        return not record.leader or not self.is_live(record.leader, record.incarnation)

    # -- the lease -------------------------------------------------------------------------------------

    def _keep_lease(self, now: float) -> None:
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
        """Renew the lease if there is one; whether nothing else is to be done."""
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
        """Write the member key, and the features beside it, under the lease."""
        key = records.MEMBERS + self.name
        # Only over the version that was seen there: a late copy of an earlier incarnation's write, which
        # would put its name and its dying lease in place of this one's, then fails.
        row = self._watch_cache.get(key)
        version = 0 if row is None else row.version
        puts = [Put(key, self.incarnation, lease), *self._feature_puts(lease)]
        outcome = self._store.compare_and_swap({key: version}, puts)
        self.last_reply_at = now
        if outcome.applied:
            self.last_renewed_at = now
            self._watch_cache.apply([Row(put.key, put.value, outcome.revision) for put in puts])
        else:
            self._watch_cache.pull(0.0)
            self._renewal_attempted_at = NEVER  # again at once

    def _feature_puts(self, lease: int) -> list[Put]:
        """The features of this controller. They belong into the transaction of the member key: a reader could
        otherwise take this controller for one that keeps to nothing."""
        if not self._features:
            return []
        value = features.value(self.incarnation, self._features)
        return [Put(records.FEATURES + self.name, value, lease)]

    def _is_announced(self) -> bool:
        """Whether the store holds the member key and the features of this very process."""
        if not self.is_live(self.name, self.incarnation):
            return False
        if not self._features:
            return True
        row = self._watch_cache.get(records.FEATURES + self.name)
        return row is not None and row.value == features.value(self.incarnation, self._features)

    # -- changes of the leader -------------------------------------------------------------------------

    def _fail_over(self) -> None:
        """Make this controller the leader, if a read confirms that there is none."""
        try:
            self._watch_cache.pull(0.0)
        except (UnavailableError, OutcomeUnknownError):
            return
        if self._is_vacant():
            self.acquire_leadership(self.name)

    def acquire_leadership(self, leader: str) -> bool:
        """Write a new leadership record, its fencing token raised, that makes `leader`, a live controller,
        the leader; whether it was written. Raises no errors of the store: a write without an answer is read
        like any other."""
        before = self.record
        value = self._new_record(leader, max(before.fencing_token, self._highest_token) + 1)
        try:
            outcome = self._store.compare_and_swap(
                {records.LEADERSHIP: before.version}, [Put(records.LEADERSHIP, value)]
            )
        except (UnavailableError, OutcomeUnknownError, LeaseGoneError) as error:
            log.info("leadership record not written: leader=%s error=%s", leader, error)
            return False
        if outcome.applied:
            log.info(
                "leadership record written: leader=%s fencing_token=%d previous=%s",
                leader,
                value["token"],
                before.leader or "none",
            )
            self._watch_cache.apply([Row(records.LEADERSHIP, value, outcome.revision)])
        return outcome.applied

    def _new_record(self, leader: str, fencing_token: int) -> dict[str, Any]:
        """The stored form of a leadership record."""
        live = self.live_members()
        value: dict[str, Any] = {
            "token": fencing_token,
            "owners": dict.fromkeys(self._teams, leader),
            "members": live,
        }
        if records.size(value) > self._limits.value_bytes:
            # With many teams and controllers the record may not fit. All teams have one leader: its name with
            # one of them, and its incarnation, is all that any release reads.
            value["owners"] = dict.fromkeys(self._teams[:1], leader)
            value["members"] = {name: live[name] for name in value["owners"].values()}
        return value
