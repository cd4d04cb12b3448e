"""Answers workers that can't reach the leader, on its behalf.

In a cut between zones, or when the leader alone is cut off, a worker that the leader can't answer sends its
heartbeats to another controller, the relay. The relay keeps the worker's lease alive with the current fencing
token, passes the heartbeats to the leader through the store, and answers with what the task log says: the
placements on the machine are its commands, since they were committed before any start went out. It decides
nothing by itself.
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from bayford.clock import NEVER
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import mesh, workers
from bayford.storage import records
from bayford.storage.key_value_store import Put, Row
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger(__name__)

RELAY_S = 30.0  # how long a worker that could not reach the leader is answered here
FIRST_RELAY_S = 10.0  # the same for a worker that has just lost the leader, which then tries it again
# A worker that is back so soon after it was redirected could not reach the leader. It takes 1 s at least.
MIN_RETURN_S, MAX_RETURN_S = 0.5, 20.0
RELAY_AGAIN_S = 60.0  # after a relay has ended, before losing the leader alone starts another
MAX_AGE_S = 15.0  # of a relay's rows, for the leader to take heartbeats from them
KEPT_S = 8.0  # how long a heartbeat is passed on
CHANGED_PERIOD_S, UNCHANGED_PERIOD_S = 0.7, 4.0  # how often heartbeats are passed on
MAX_PERIOD_S = 8.0  # however many values that takes: the leader has to learn of a machine within its lease
MAX_REMEMBERED = 32_768  # machines, and cancelled jobs
ENVELOPE_BYTES = 64  # of a value: what surrounds the packed heartbeats


@dataclass(frozen=True, slots=True)
class _KeptHeartbeat:
    received_at: float  # steady clock
    heartbeat: workers.Heartbeat


class Relay:
    """The machines that this controller answers on the leader's behalf."""

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
        self._lock = threading.Lock()  # guards all that follows, but for `_key_count`
        self._latest: dict[str, tuple[int, int]] = {}  # by machine: epoch and sequence last seen here
        self._redirected_at: dict[str, float] = {}  # by machine
        self._relayed_until: dict[str, float] = {}  # by machine
        self._heartbeats: dict[str, _KeptHeartbeat] = {}  # by machine: the newest
        self._changed = False  # something is to be passed on soon
        self._published_at = NEVER
        self._key_count = 0  # keys that the heartbeats took last; used by the publishing thread alone
        self._known_cancelled: set[str] = set()

    def stale(self, heartbeat: workers.Heartbeat) -> bool:
        """Whether this is a late copy: the machine was here with a newer heartbeat, or with this one.

        Copies must move no machine between leader and relay, and are no news to pass on.
        """
        order = (heartbeat.epoch, heartbeat.sequence)
        with self._lock:
            if len(self._latest) > MAX_REMEMBERED:
                self._latest.clear()
            if order <= self._latest.get(heartbeat.machine, (-1, -1)):
                return True
            self._latest[heartbeat.machine] = order
            return False

    def should_answer(self, machine: str, leader_unreachable: bool, left_leader: bool) -> bool:
        """Whether to answer this machine here. If not, it is about to be sent to the leader: remember that.

        A machine that comes back soon after it was sent to the leader could not reach it. One that has the
        leader's token already and turns up here has just lost it (`left_leader`): with a short lease there is
        no time to send it back first and see.
        """
        now = self._clock()
        with self._lock:
            until = self._relayed_until.get(machine, NEVER)
            if until > now:
                return True
            redirected_at = self._redirected_at.pop(machine, None)
            if redirected_at is not None and MIN_RETURN_S < now - redirected_at < MAX_RETURN_S:
                self._relayed_until[machine] = now + RELAY_S
                return True
            if leader_unreachable or (left_leader and now - until > RELAY_AGAIN_S):
                self._relayed_until[machine] = now + FIRST_RELAY_S
                return True
            self._redirected_at[machine] = now
            if len(self._redirected_at) > MAX_REMEMBERED:
                self._redirected_at = {m: t for m, t in self._redirected_at.items() if now - t < MAX_RETURN_S}
                self._relayed_until = {
                    m: t for m, t in self._relayed_until.items() if now - t < RELAY_AGAIN_S
                }
            return False

    def note(self, heartbeat: workers.Heartbeat) -> None:
        """Keep a relayed machine's newest heartbeat for the leader."""
        with self._lock:
            kept = self._heartbeats.get(heartbeat.machine)
            if kept is not None:
                last = kept.heartbeat
                if (heartbeat.epoch, heartbeat.sequence) <= (last.epoch, last.sequence):
                    return
                if last.tasks != heartbeat.tasks or last.epoch != heartbeat.epoch:
                    self._changed = True
            else:
                self._changed = True
            self._heartbeats[heartbeat.machine] = _KeptHeartbeat(self._clock(), heartbeat)

    def commands(self, heartbeat: workers.Heartbeat) -> list[workers.Command]:
        """What the records say about this machine. The watch cache must have been read since the heartbeat
        arrived."""
        reported = {(task.task_id, task.attempt): task for task in heartbeat.tasks}
        commands: list[workers.Command] = []
        placed: set[tuple[str, int]] = set()
        for placement in self._watch_cache.placements_on(heartbeat.machine):
            if placement.epoch != heartbeat.epoch:
                continue
            key = (workers.task_name(placement.job, placement.task), placement.attempt)
            placed.add(key)
            if not placement.cancelled and key not in reported:
                commands.append(workers.Start(*key))
            elif placement.cancelled and key in reported and reported[key].phase != workers.ENDED:
                commands.append(workers.Stop(*key, 0.0))
        commands += [
            workers.Reap(*key)
            for key, task in reported.items()
            if key not in placed and task.phase == workers.ENDED
        ]
        return commands

    def on_cancelled(self, jobs: Iterable[str]) -> None:
        """Another controller has confirmed the cancellation of these; the watch cache may not know it yet."""
        with self._lock:
            if len(self._known_cancelled) > MAX_REMEMBERED:
                self._known_cancelled.clear()  # only early notice: the watch cache learns of them anyway
            self._known_cancelled.update(jobs)

    def stop_commands(self, heartbeat: workers.Heartbeat) -> list[workers.Command]:
        """Stops for the tasks of cancelled jobs on this machine, as far as is known here, however old the
        view of the store: a cancellation is final."""
        with self._lock:
            known_cancelled = set(self._known_cancelled)
        commands: list[workers.Command] = []
        for task in heartbeat.tasks:
            job_id = (workers.split_task(task.task_id) or ("", 0))[0]
            cancelled = job_id in known_cancelled or self._watch_cache.is_cancelled(job_id)
            if task.phase != workers.ENDED and cancelled:
                commands.append(workers.Stop(task.task_id, task.attempt, 0.0))
        return commands

    def publish(self) -> list[Put]:
        """The writes that pass the heartbeats on, none if that is not due. Called by one thread."""
        now = self._clock()
        with self._lock:
            self._heartbeats = {
                machine: kept for machine, kept in self._heartbeats.items() if now - kept.received_at < KEPT_S
            }
            if not self._heartbeats and not self._key_count:
                return []
            if now - self._published_at < self._period_s():
                return []
            self._published_at = now
            self._changed = False
            heartbeats = [kept.heartbeat for kept in self._heartbeats.values()]
        texts = mesh.pack_heartbeats(heartbeats, self._limits.value_bytes - ENVELOPE_BYTES)
        at = round(self._wall(), 1)
        puts = [Put(self._key(number), {"at": at, "reports": text}) for number, text in enumerate(texts)]
        puts += [Put(self._key(number), None) for number in range(len(texts), self._key_count)]
        self._key_count = len(texts)
        return puts

    def _period_s(self) -> float:
        """From one publication to the next. A relay of many machines needs more changes, so it writes less
        often."""
        if not self._changed:
            return UNCHANGED_PERIOD_S
        return min(MAX_PERIOD_S, CHANGED_PERIOD_S * max(1, self._key_count))

    def not_published(self) -> None:
        """The writes were refused, or their outcome is unknown: publish again soon."""
        with self._lock:
            self._changed = True

    def _key(self, number: int) -> str:
        return f"{records.RELAYS}{self._name}/{number}"


def heartbeats_in(row: Row, wall: float) -> tuple[str, list[workers.Heartbeat]]:
    """The relay's name and the heartbeats in one of its rows, none if they are old.

    A relay that ends leaves its rows behind. A new leader that took them for current would place work on
    machines that are long gone. `wall`: the time of day, in seconds.
    """
    name = row.key[len(records.RELAYS) :].partition("/")[0]
    if row.value is None or wall - row.value["at"] > MAX_AGE_S:
        return name, []
    try:
        return name, mesh.unpack_heartbeats(row.value["reports"])
    except ValueError as error:
        log.error("record unreadable: key=%s reason=%s", row.key, error)
        return name, []
