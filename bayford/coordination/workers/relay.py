"""Answering workers that can't reach the leader.

In a cut between zones, or when the leader alone is cut off, a worker that the leader can't hear reports to
another controller. That one keeps its lease alive with the current token, passes its heartbeats to the leader
through the store, and answers with what the records say: the placements of the machine are its orders,
for they were committed before any start went out. It decides nothing by itself.
"""

import logging
import threading
from collections.abc import Callable, Iterable

from bayford.clock import NEVER
from bayford.coordination.store_limits import StoreLimits
from bayford.protocol import mesh, workers
from bayford.storage import records
from bayford.storage.key_value_store import Put, Row
from bayford.storage.watch_cache import WatchCache

log = logging.getLogger("bayford.relay")

RELAY_S = 30.0
BACK_S, RETURN_S = 0.5, 20.0  # when a worker that could not reach the leader is back: 1 s at the least
FIRST_S = 10.0  # until the leader is tried again by a machine that lost it
AGAIN_S = 60.0
OLD_S = 15.0
CHANGED_S, UNCHANGED_S = 0.7, 4.0  # how often the heartbeats are passed on
LONGEST_S = 8.0  # at the most, however many values that takes: the leader must hear machines within a lease
REMEMBERED = 32_768  # machines, and cancelled jobs, remembered


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
        self._wall = wall
        self._name = name
        self._watch_cache = watch_cache
        self._limits = limits
        self._clock = clock
        self._lock = threading.Lock()
        self._latest: dict[str, tuple[int, int]] = {}  # epoch and tick last seen here
        self._sent_away: dict[str, float] = {}
        self._until: dict[str, float] = {}
        self._reports: dict[str, tuple[float, workers.Heartbeat]] = {}
        self._changed = False
        self._published = NEVER
        self._keys = 0
        self._known_cancelled: set[str] = set()

    def stale(self, heartbeat: workers.Heartbeat) -> bool:
        """Whether this is a late copy: the machine was here with a newer heartbeat, or with this one.

        Copies must move no machine between leader and relay, and are no news to pass on.
        """
        order = (heartbeat.epoch, heartbeat.sequence)
        with self._lock:
            if len(self._latest) > REMEMBERED:
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
            until = self._until.get(machine, NEVER)
            if until > now:
                return True
            sent = self._sent_away.pop(machine, None)
            if sent is not None and BACK_S < now - sent < RETURN_S:
                self._until[machine] = now + RELAY_S
                return True
            if leader_unreachable or (left_leader and now - until > AGAIN_S):
                self._until[machine] = now + FIRST_S
                return True
            self._sent_away[machine] = now
            if len(self._sent_away) > REMEMBERED:
                self._sent_away = {m: t for m, t in self._sent_away.items() if now - t < RETURN_S}
                self._until = {m: t for m, t in self._until.items() if now - t < AGAIN_S}
            return False

    def note(self, heartbeat: workers.Heartbeat) -> None:
        """Keep a relayed machine's newest heartbeat for the leader."""
        with self._lock:
            old = self._reports.get(heartbeat.machine)
            if old is None or (heartbeat.epoch, heartbeat.sequence) > (old[1].epoch, old[1].sequence):
                if old is None or old[1].tasks != heartbeat.tasks or old[1].epoch != heartbeat.epoch:
                    self._changed = True
                self._reports[heartbeat.machine] = (self._clock(), heartbeat)

    def commands(self, heartbeat: workers.Heartbeat) -> list[workers.Command]:
        """What the records say about this machine. The watch cache must be fresher than the heartbeat."""
        have = {(t.task_id, t.attempt): t for t in heartbeat.tasks}
        out: list[workers.Command] = []
        wanted: set[tuple[str, int]] = set()
        for placement in self._watch_cache.placements_on(heartbeat.machine):
            if placement.epoch != heartbeat.epoch:
                continue
            task_id = workers.task_name(placement.job, placement.task)
            key = (task_id, placement.attempt)
            wanted.add(key)
            if placement.cancelled:
                if key in have and have[key].phase != workers.ENDED:
                    out.append(workers.Stop(task_id, placement.attempt, grace_s=0.0))
            elif key not in have:
                out.append(workers.Start(task_id, placement.attempt))
        out += [
            workers.Reap(*key)
            for key, state in have.items()
            if key not in wanted and state.phase == workers.ENDED
        ]
        return out

    def on_cancelled(self, jobs: Iterable[str]) -> None:
        """Another controller has confirmed the cancellation of these; the watch cache may not know it yet."""
        with self._lock:
            if len(self._known_cancelled) > REMEMBERED:
                self._known_cancelled.clear()  # told early is all that it is: the watch cache will know
            self._known_cancelled.update(jobs)

    def stop_commands(self, heartbeat: workers.Heartbeat) -> list[workers.Command]:
        """The tasks of cancelled jobs on this machine, as far as is known here, on however old a view."""
        with self._lock:
            known_cancelled = set(self._known_cancelled)
        out: list[workers.Command] = []
        for state in heartbeat.tasks:
            job = (workers.split_task(state.task_id) or ("", 0))[0]
            if state.phase != workers.ENDED and (
                job in known_cancelled or self._watch_cache.is_cancelled(job)
            ):
                out.append(workers.Stop(state.task_id, state.attempt, 0.0))
        return out

    def publish(self) -> list[Put]:
        """The writes that pass the heartbeats on, or none if there is nothing to say yet."""
        now = self._clock()
        with self._lock:
            self._reports = {m: r for m, r in self._reports.items() if now - r[0] < 8.0}
            if not self._reports and not self._keys:
                return []
            # A relay of many takes more changes, so it speaks less often.
            pause_s = min(LONGEST_S, CHANGED_S * max(1, self._keys)) if self._changed else UNCHANGED_S
            if now - self._published < pause_s:
                return []
            self._published = now
            self._changed = False
            heartbeats = [heartbeat for _, heartbeat in self._reports.values()]
        texts = mesh.pack_heartbeats(heartbeats, self._limits.value_bytes - 64)
        at = round(self._wall(), 1)
        puts = [Put(self._key(n), {"at": at, "reports": text}) for n, text in enumerate(texts)]
        puts += [Put(self._key(n), None) for n in range(len(texts), self._keys)]
        self._keys = len(texts)
        return puts

    def not_published(self) -> None:
        """The writes were refused, or it is not known: again soon."""
        with self._lock:
            self._changed = True

    def _key(self, n: int) -> str:
        return f"{records.RELAYS}{self._name}/{n}"


def heartbeats_in(row: Row, wall: float) -> tuple[str, list[workers.Heartbeat]]:
    """The relay's name and the heartbeats in one of its rows, none if they are old.

    A relay that ends leaves its rows behind. A new leader that took them for news would place work on
    machines that are long gone.
    """
    name = row.key[len(records.RELAYS) :].partition("/")[0]
    if row.value is None or wall - row.value["at"] > OLD_S:
        return name, []
    try:
        return name, mesh.unpack_heartbeats(row.value["reports"])
    except ValueError as bad:
        log.error("%s: %s", row.key, bad)
        return name, []
