"""Answering workers that can't reach the owner.

In a cut between zones, or when the owner alone is cut off, a worker that the owner can't hear reports to
another controller. That one keeps its lease alive with the current token, passes its reports to the owner
through the store, and answers with what the records say: the placements of the machine are its orders,
for they were committed before any start went out. It decides nothing by itself.
"""

import logging
import threading
from collections.abc import Callable, Iterable

from bayford.clock import NEVER
from bayford.coordination.store_limits import Limits
from bayford.protocol import mesh, workers
from bayford.storage import records
from bayford.storage.key_value_store import Put, Row
from bayford.storage.watch_cache import Mirror

log = logging.getLogger("bayford.relay")

RELAY_S = 30.0
BACK_S, RETURN_S = 0.5, 20.0  # when a worker that could not reach the owner is back: 1 s at the least
FIRST_S = 10.0  # until the owner is tried again by a machine that lost it
AGAIN_S = 60.0
OLD_S = 15.0
CHANGED_S, UNCHANGED_S = 0.7, 4.0  # how often the reports are passed on
LONGEST_S = 8.0  # at the most, however many values that takes: the owner must hear machines within a lease
REMEMBERED = 32_768  # machines, and cancelled jobs, remembered


class Relay:
    """The machines that this controller answers on the owner's behalf."""

    def __init__(
        self,
        name: str,
        mirror: Mirror,
        limits: Limits,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self._wall = wall
        self._name = name
        self._mirror = mirror
        self._limits = limits
        self._clock = clock
        self._lock = threading.Lock()
        self._latest: dict[str, tuple[int, int]] = {}  # session and tick last seen here
        self._sent_away: dict[str, float] = {}
        self._until: dict[str, float] = {}
        self._reports: dict[str, tuple[float, workers.Report]] = {}
        self._changed = False
        self._published = NEVER
        self._keys = 0
        self._known_cancelled: set[str] = set()

    def stale(self, report: workers.Report) -> bool:
        """Whether this is a late copy: the machine was here with a newer report, or with this one.

        Copies must move no machine between owner and relay, and are no news to pass on.
        """
        order = (report.session, report.tick)
        with self._lock:
            if len(self._latest) > REMEMBERED:
                self._latest.clear()
            if order <= self._latest.get(report.machine, (-1, -1)):
                return True
            self._latest[report.machine] = order
            return False

    def should_answer(self, machine: str, owner_unreachable: bool, left_owner: bool) -> bool:
        """Whether to answer this machine here. If not, it is about to be sent to the owner: remember that.

        A machine that comes back soon after it was sent to the owner could not reach it. One that has the
        owner's token already and turns up here has just lost it (`left_owner`): with a short lease there is
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
            if owner_unreachable or (left_owner and now - until > AGAIN_S):
                self._until[machine] = now + FIRST_S
                return True
            self._sent_away[machine] = now
            if len(self._sent_away) > REMEMBERED:
                self._sent_away = {m: t for m, t in self._sent_away.items() if now - t < RETURN_S}
                self._until = {m: t for m, t in self._until.items() if now - t < AGAIN_S}
            return False

    def note(self, report: workers.Report) -> None:
        """Keep a relayed machine's newest report for the owner."""
        with self._lock:
            old = self._reports.get(report.machine)
            if old is None or (report.session, report.tick) > (old[1].session, old[1].tick):
                if old is None or old[1].tasks != report.tasks or old[1].session != report.session:
                    self._changed = True
                self._reports[report.machine] = (self._clock(), report)

    def orders(self, report: workers.Report) -> list[workers.Order]:
        """What the records say about this machine. The mirror must be fresher than the report."""
        have = {(t.part, t.attempt): t for t in report.tasks}
        out: list[workers.Order] = []
        wanted: set[tuple[str, int]] = set()
        for job_id, task, attempt, session, cancelled in self._mirror.orders(report.machine):
            if session != report.session:
                continue
            part = workers.task_name(job_id, task)
            key = (part, attempt)
            wanted.add(key)
            if cancelled:
                if key in have and have[key].phase != workers.ENDED:
                    out.append(workers.Halt(part, attempt, 0.0))
            elif key not in have:
                out.append(workers.Start(part, attempt))
        out += [
            workers.Reap(*key)
            for key, state in have.items()
            if key not in wanted and state.phase == workers.ENDED
        ]
        return out

    def note_cancelled(self, jobs: Iterable[str]) -> None:
        """Another controller has confirmed the cancellation of these; the mirror may not know it yet."""
        with self._lock:
            if len(self._known_cancelled) > REMEMBERED:
                self._known_cancelled.clear()  # told early is all that it is: the mirror will know
            self._known_cancelled.update(jobs)

    def halts(self, report: workers.Report) -> list[workers.Order]:
        """The tasks of cancelled jobs on this machine, as far as is known here, on however old a view."""
        with self._lock:
            known_cancelled = set(self._known_cancelled)
        out: list[workers.Order] = []
        for state in report.tasks:
            job = (workers.split_task(state.part) or ("", 0))[0]
            if state.phase != workers.ENDED and (job in known_cancelled or self._mirror.cancelled(job)):
                out.append(workers.Halt(state.part, state.attempt, 0.0))
        return out

    def publish(self) -> list[Put]:
        """The writes that pass the reports on, or none if there is nothing to say yet."""
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
            reports = [report for _, report in self._reports.values()]
        texts = mesh.pack_reports(reports, self._limits.value_bytes - 64)
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


def reports_in(row: Row, wall: float) -> tuple[str, list[workers.Report]]:
    """The relay's name and the reports in one of its rows, none if they are old.

    A relay that ends leaves its rows behind. A new owner that took them for news would place work on
    machines that are long gone.
    """
    name = row.key[len(records.RELAYS) :].partition("/")[0]
    if row.value is None or wall - row.value["at"] > OLD_S:
        return name, []
    try:
        return name, mesh.unpack_reports(row.value["reports"])
    except ValueError as bad:
        log.error("%s: %s", row.key, bad)
        return name, []
