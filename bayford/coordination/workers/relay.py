"""Answers workers that can't reach the leader, on the leader's behalf.

During a network partition between zones, or if only the leader is partitioned, a worker that the leader can't
answer sends its heartbeats to another controller, the relay. The relay renews the worker's lease with the
current fencing token, passes the heartbeats to the leader through the key-value store, and derives the
commands from the task log: a placement on the machine is committed there before the start is sent, so the
placements are the commands. The relay makes no scheduling decisions.
"""

import enum
import logging
import threading
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from bayford.clock import NEVER
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import mesh, message_sizes, workers
from bayford.scheduling.model import AttemptKey
from bayford.storage import records
from bayford.storage.key_value_store import Put
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger(__name__)

# A worker that returns this soon after a redirect could not reach the leader. A return takes at least 1 s.
MIN_RETURN_S, MAX_RETURN_S = 0.5, 20.0
RELAY_COOLDOWN_S = 60.0  # minimum time from the end of a relay until loss of the leader alone starts another
HEARTBEAT_RETENTION_S = 8.0  # how long a received heartbeat is included in publications
CHANGED_PERIOD_S, UNCHANGED_PERIOD_S = 0.7, 4.0  # publishing period with and without changed heartbeats
MAX_PERIOD_S = 8.0  # for any number of values: the leader must receive a machine's heartbeat within its lease
MAX_REMEMBERED_ENTRIES = 32_768  # limit on remembered machines, and on remembered cancelled jobs
ENVELOPE_BYTES = 64  # part of a value's size limit that is left for the fields around the packed heartbeats


class RelayReason(enum.StrEnum):
    """Why this controller answers a machine in the leader's place. The values are in the log."""

    LOST_LEADER = "lost_leader"  # the leader has answered it before, and it sends its heartbeat here
    LEADER_UNREACHABLE = "leader_unreachable"  # this controller can't reach the leader either
    RETURNED = "returned"  # it was redirected to the leader and came back
    LEADER_CHANGED = "leader_changed"  # it was redirected to an earlier leader and came back


# How long this controller answers a machine before it redirects it to the leader again.
DURATIONS_S = {
    RelayReason.LOST_LEADER: 10.0,
    RelayReason.LEADER_UNREACHABLE: 10.0,
    RelayReason.RETURNED: 30.0,
    # One answer, which renews its lease before it tries the present leader. Workers send at most two
    # heartbeats a second.
    RelayReason.LEADER_CHANGED: 0.4,
}


@dataclass(frozen=True, slots=True)
class _RelayPeriod:
    """The time in which this controller answers one machine."""

    until: float  # steady clock
    fencing_token: int  # of the leader that the machine could not reach
    reason: RelayReason

    def is_current(self, now: float, fencing_token: int, leader_unreachable: bool) -> bool:
        """Returns whether it goes on: not under another leader, or as soon as its reason no longer holds."""
        if self.until <= now:
            return False
        is_same_leader = self.fencing_token == fencing_token
        return leader_unreachable or (is_same_leader and self.reason is not RelayReason.LEADER_UNREACHABLE)


@dataclass(frozen=True, slots=True)
class _Redirect:
    """A redirect of one machine to the leader."""

    at: float  # steady clock
    fencing_token: int  # of the leader


@dataclass(frozen=True, slots=True)
class _ReceivedHeartbeat:
    received_at: float  # steady clock
    heartbeat: workers.Heartbeat


class Relay:
    """Tracks and answers the machines that this controller relays."""

    def __init__(
        self,
        name: str,
        watch_cache: WatchCache,
        limits: StoreLimits,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self._name = name
        self._watch_cache = watch_cache
        self._limits = limits
        self._clock = clock
        self._wall = wall
        self._lock = threading.Lock()  # guards all fields below except `_key_count`
        self._latest: dict[str, tuple[int, int]] = {}  # by machine: highest epoch and sequence received here
        self._redirects: dict[str, _Redirect] = {}  # by machine: the last one, until it returns
        self._relayed_until: dict[str, _RelayPeriod] = {}  # by machine
        self._heartbeats: dict[str, _ReceivedHeartbeat] = {}  # by machine: the newest one
        self._changed = False  # whether to publish after the period for changed heartbeats
        self._published_at = NEVER
        self._key_count = 0  # number of keys last published; used only by the publishing thread
        self._known_cancelled: set[str] = set()
        self._deferred_commands = 0

    def record_order(self, heartbeat: workers.Heartbeat) -> bool:
        """Records the heartbeat's order and returns whether it is newer than all those of its machine so far.

        A late copy must not move a machine between the leader and the relay, and is not passed on.
        """
        order = heartbeat.order
        with self._lock:
            if len(self._latest) > MAX_REMEMBERED_ENTRIES:
                self._latest.clear()
            if order <= self._latest.get(heartbeat.machine, (-1, -1)):
                return False
            self._latest[heartbeat.machine] = order
            return True

    def should_answer(
        self, machine: str, fencing_token: int, leader_unreachable: bool, has_lost_leader: bool
    ) -> bool:
        """Returns whether to answer this machine here. If not, records that it is redirected to the leader.

        A machine that returns soon after a redirect could not reach the leader. A machine that already has
        the leader's token and sends its heartbeat here has just lost the leader (`has_lost_leader`). It is
        relayed at once, because a short lease leaves no time for a redirect to the leader first.

        `fencing_token`: of the present leader. A machine that could not reach an earlier one is redirected to
        the present one, unless this controller can't reach it either (`leader_unreachable`). One that is
        relayed for that reason alone is redirected once this controller reaches the leader.
        """
        now = self._clock()
        with self._lock:
            period = self._relayed_until.get(machine)
            if period is not None and period.is_current(now, fencing_token, leader_unreachable):
                return True
            reason = self._find_reason(machine, now, fencing_token, leader_unreachable, has_lost_leader)
            if reason is not None:
                until = now + DURATIONS_S[reason]
                self._relayed_until[machine] = _RelayPeriod(until, fencing_token, reason)
                return True
            self._redirects[machine] = _Redirect(now, fencing_token)
            if len(self._redirects) > MAX_REMEMBERED_ENTRIES:
                self._forget_old_entries(now)
            return False

    def _find_reason(
        self, machine: str, now: float, fencing_token: int, leader_unreachable: bool, has_lost_leader: bool
    ) -> RelayReason | None:
        """Returns why to begin to relay the machine, or None. The lock is held."""
        redirect = self._redirects.pop(machine, None)
        if redirect is not None and MIN_RETURN_S < now - redirect.at < MAX_RETURN_S:
            is_same_leader = redirect.fencing_token == fencing_token
            return RelayReason.RETURNED if is_same_leader else RelayReason.LEADER_CHANGED
        if leader_unreachable:
            return RelayReason.LEADER_UNREACHABLE
        period = self._relayed_until.get(machine)
        if has_lost_leader and (period is None or now - period.until > RELAY_COOLDOWN_S):
            return RelayReason.LOST_LEADER
        return None

    def _forget_old_entries(self, now: float) -> None:
        """Removes the redirects and periods that no longer matter. The lock is held."""
        self._redirects = {
            m: redirect for m, redirect in self._redirects.items() if now - redirect.at < MAX_RETURN_S
        }
        self._relayed_until = {
            m: period for m, period in self._relayed_until.items() if now - period.until < RELAY_COOLDOWN_S
        }

    def counts(self) -> dict[RelayReason, int]:
        """Returns the number of machines that are relayed now, by reason, for the log."""
        now = self._clock()
        with self._lock:
            return Counter(period.reason for period in self._relayed_until.values() if period.until > now)

    def store_heartbeat(self, heartbeat: workers.Heartbeat) -> None:
        """Store the heartbeat of a relayed machine for the leader, unless a newer one is stored."""
        with self._lock:
            stored = self._heartbeats.get(heartbeat.machine)
            if stored is not None:
                last = stored.heartbeat
                if heartbeat.order <= last.order:
                    return
                if last.tasks != heartbeat.tasks or last.epoch != heartbeat.epoch:
                    self._changed = True
            else:
                self._changed = True
            self._heartbeats[heartbeat.machine] = _ReceivedHeartbeat(self._clock(), heartbeat)

    def commands(self, heartbeat: workers.Heartbeat, with_starts: bool) -> list[workers.Command]:
        """Returns the commands for this machine that follow from the task log.

        The watch cache must have been refreshed after the heartbeat arrived. `with_starts`: whether starts
        may be among them.
        """
        reported = {(task.task_id, task.attempt): task for task in heartbeat.tasks}
        stops: list[workers.Command] = []
        starts: list[workers.Start] = []
        placed: set[AttemptKey] = set()
        for placement in self._watch_cache.placements_on(heartbeat.machine):
            if placement.epoch != heartbeat.epoch:
                continue
            key = (workers.format_task_id(placement.job, placement.task), placement.attempt)
            placed.add(key)
            if not placement.cancelled and key not in reported:
                if with_starts:
                    starts.append(workers.Start(*key))
            elif placement.cancelled and key in reported and reported[key].phase != workers.ENDED:
                stops.append(workers.Stop(*key, 0.0))
        reaps = [
            workers.Reap(*key)
            for key, task in reported.items()
            if key not in placed and task.phase == workers.ENDED
        ]
        return self._bounded([*stops, *reaps], starts, reported)

    def _bounded(
        self,
        stops_and_reaps: list[workers.Command],
        starts: list[workers.Start],
        reported: Collection[AttemptKey],
    ) -> list[workers.Command]:
        """Returns the commands that fit into one response, and counts the others."""
        commands, deferred = message_sizes.bounded_commands(stops_and_reaps, starts, reported)
        if deferred:
            with self._lock:
                self._deferred_commands += deferred
        return commands

    @property
    def deferred_commands(self) -> int:
        """The number of commands so far that did not fit into a response and were left to a later one."""
        with self._lock:
            return self._deferred_commands

    def on_cancelled(self, jobs: Iterable[str]) -> None:
        """Record cancellations confirmed by another controller; the watch cache may not have them yet."""
        with self._lock:
            if len(self._known_cancelled) > MAX_REMEMBERED_ENTRIES:
                self._known_cancelled.clear()  # the watch cache gets these cancellations too, only later
            self._known_cancelled.update(jobs)

    def stop_commands(self, heartbeat: workers.Heartbeat) -> list[workers.Command]:
        """Returns stops for the tasks on this machine whose jobs are known here to be cancelled.

        Valid for any age of the watch cache, because a cancellation is final.
        """
        with self._lock:
            known_cancelled = set(self._known_cancelled)
        commands: list[workers.Command] = []
        for task in heartbeat.tasks:
            job_id = (workers.parse_task_id(task.task_id) or ("", 0))[0]
            cancelled = job_id in known_cancelled or self._watch_cache.is_cancelled(job_id)
            if task.phase != workers.ENDED and cancelled:
                commands.append(workers.Stop(task.task_id, task.attempt, 0.0))
        return self._bounded(commands, [], ())

    def publish(self) -> list[Put]:
        """Returns the writes that pass heartbeats to the leader, none if not due. Called by one thread."""
        now = self._clock()
        with self._lock:
            self._heartbeats = {
                machine: stored
                for machine, stored in self._heartbeats.items()
                if now - stored.received_at < HEARTBEAT_RETENTION_S
            }
            if not self._heartbeats and not self._key_count:
                return []
            if now - self._published_at < self._period_s():
                return []
            self._published_at = now
            self._changed = False
            heartbeats = [stored.heartbeat for stored in self._heartbeats.values()]
        texts = mesh.pack_heartbeats(heartbeats, self._limits.value_bytes - ENVELOPE_BYTES)
        at = round(self._wall(), 1)
        puts = [Put(self._key(number), {"at": at, "reports": text}) for number, text in enumerate(texts)]
        puts += [Put(self._key(number), None) for number in range(len(texts), self._key_count)]
        self._key_count = len(texts)
        return puts

    def _period_s(self) -> float:
        """Returns the time between publications. A relay of many machines needs more writes for each
        publication, so it publishes less often."""
        if not self._changed:
            return UNCHANGED_PERIOD_S
        return min(MAX_PERIOD_S, CHANGED_PERIOD_S * max(1, self._key_count))

    def on_publish_failed(self) -> None:
        """Schedule an early publication, because the last writes were refused or their outcome is unknown."""
        with self._lock:
            self._changed = True

    def _key(self, number: int) -> str:
        return f"{records.RELAYS}{self._name}/{number}"
