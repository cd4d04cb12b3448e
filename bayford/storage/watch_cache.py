"""A watch cache of our part of the store, fed by changes, and the task log that its rows add up to.

Monotone by construction: a row is replaced only by one with a larger version. `fresh()` makes it
linearizable: one read of the changes since its revision, shared by everybody who asked before that read
was sent, so a poll costs the state service a fraction of a request.
"""

import logging
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

from bayford.clock import NEVER
from bayford.storage import records
from bayford.storage.key_value_store import (
    CompactedError,
    KeyValueStore,
    OutcomeUnknownError,
    Row,
    UnavailableError,
)
from bayford.storage.records import JOBS, LAYOUT, LOG, UnreadableError
from bayford.storage.task_log import Progress, TaskLog

log = logging.getLogger("bayford.mirror")

T = TypeVar("T")
Listener = Callable[[list[Row]], None]


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job that is not over, as the store has it."""

    record: records.Record
    version: int
    progress: Progress | None  # None: the task log tells nothing of it


class WatchCache:
    """All rows under `records.PREFIX`, by key."""

    def __init__(
        self,
        store: KeyValueStore,
        layout_bytes: int,
        listener: Listener | None = None,
        threaded: bool = True,
        clock: Callable[[], float] = time.monotonic,
        on_read: Callable[[], None] = lambda: None,
    ) -> None:
        """`layout_bytes`: what the task log is laid out for, unless the store says otherwise. Without
        `threaded` there is no thread behind `fresh`: the caller's own reads. `on_read` is called after each
        read that has moved `as_of`."""
        self._threaded = threaded
        self._clock = clock
        self._on_read = on_read
        # Rows are told in the order in which they are taken in, and whoever has read returns only when all
        # that its read shows has been told: else a second read, which finds the rows here already, would
        # vouch for a cancellation that nobody has acted upon yet.
        self._telling = threading.RLock()
        self._layout_bytes = layout_bytes
        self.task_log = TaskLog(layout_bytes)
        self._reading = False  # one reload at a time
        # The rows read page by page are of several moments. Only the changes that follow make them one.
        self._torn = True
        self._store = store
        self._lock = threading.Lock()
        self._families: dict[str, dict[str, Row]] = {}  # rows by the first two words of their keys
        self._deleted_versions: dict[str, int] = {}
        self._records: dict[str, tuple[int, records.Record]] = {}  # decoded, by key
        self.revision = -1  # -1: never loaded
        # As of which moment the watch cache is complete: the sending of the last read that was taken in. All
        # that was committed before then, by whomever, is here and has been told to the listener.
        self.as_of = NEVER
        self._listener = listener
        self._want = threading.Condition()
        self._asked = 0
        self._served = 0
        self._failed = 0

    # -- feeding ---------------------------------------------------------------------------------------

    def apply(self, rows: Iterable[Row], revision: int | None = None, tell: bool = True) -> None:
        """Take rows in and tell the listener those that were news, unless they are its own writes."""
        with self._telling:
            news = self._take_in(rows, revision)
            if news and tell and self._listener is not None:
                self._listener(news)

    def _take_in(self, rows: Iterable[Row], revision: int | None) -> list[Row]:
        news = []
        with self._lock:
            told: list[Row] = []
            for row in rows:
                family = self._families.setdefault(_family(row.key), {})
                old = family.get(row.key)
                if (old is not None and old.version >= row.version) or self._deleted_versions.get(
                    row.key, -1
                ) >= row.version:
                    continue
                if row.value is None:
                    family.pop(row.key, None)
                    self._deleted_versions[row.key] = row.version
                else:
                    family[row.key] = row
                if row.key.startswith(LOG):
                    told.append(row)
                else:
                    news.append(row)
            if self._laid_out() != self.task_log.layout_bytes:
                self._torn = True  # what was read with other blocks is to be read again
            if not self._torn:
                self._extend(told)
            if revision is not None and revision > self.revision:
                self.revision = revision
                if len(self._deleted_versions) > 2000:
                    self._deleted_versions.clear()
        return news

    def _extend(self, told: list[Row]) -> None:
        try:
            for row in told:
                self.task_log.apply_row(row.key, row.version, row.value)
        except UnreadableError as bad:
            log.error("%s", bad)
            self._torn = True

    def reload(self) -> None:
        """Read everything again: at the start, and when the changes have been compacted."""
        with self._lock:
            if self._reading:
                raise UnavailableError("the records are being read")
            self._reading = True
        try:
            self._reload()
        except CompactedError as bad:
            raise UnavailableError("the records change faster than they are read") from bad
        finally:
            self._reading = False

    def _reload(self) -> None:
        rows, revision = self._store.scan(records.PREFIX)
        keys = {row.key for row in rows}
        with self._lock:
            self._torn = True
            missing = [
                Row(row.key, None, revision)
                for family in self._families.values()
                for row in family.values()
                if row.key not in keys and row.version <= revision
            ]
        self.apply([*rows, *missing], revision)
        rows, revision = self._store.watch(records.PREFIX, revision, 0.0)
        self.apply(rows, revision)
        with self._lock:
            self._rebuild()

    def _laid_out(self) -> int | None:
        """The size that the task log's blocks were laid out for. The store's word goes before the settings',
        or a settings file with a new limit would misread every snapshot there is."""
        row = self._row(LAYOUT)
        if row is None:
            return self._layout_bytes
        found = row.value.get("value_bytes") if isinstance(row.value, dict) else None
        return found if isinstance(found, int) and found > 0 else None

    def _rebuild(self) -> None:
        layout = self._laid_out()
        if layout is None:
            log.error("%s can't be read: nothing is known of any task", LAYOUT)
            return
        if layout != self.task_log.layout_bytes:
            self.task_log = TaskLog(layout)
        found = [(r.key, r.version, r.value) for r in self._families.get(LOG, {}).values()]
        try:
            self.task_log.rebuild(found)
            self._torn = False
        except UnreadableError as bad:
            # Whatever it held must not pass for never having been: nobody starts anything from here.
            log.error("%s", bad)

    def pull(self, wait_s: float) -> None:
        """One read of changes, waiting up to `wait_s` for the first."""
        if self.revision < 0 or self._torn:
            self.reload()
        began = self._clock()
        try:
            rows, revision = self._store.watch(records.PREFIX, self.revision, wait_s)
        except CompactedError:
            self.reload()
        else:
            self.apply(rows, revision)
        # Also of a read that waited: it shows at least what was there when it was sent.
        if began > self.as_of:
            self.as_of = began
            self._on_read()

    def with_task_log(self, call: Callable[[TaskLog], T]) -> T:
        """Something short on the task log, which the caller must not keep."""
        with self._lock:
            if self._torn:
                raise UnavailableError("the records are being read")
            return call(self.task_log)

    # -- linearizable reads ----------------------------------------------------------------------------

    def refresh(self, timeout_s: float) -> bool:
        """Wait until a read sent after this call has been taken in. False: not possible now."""
        if not self._threaded:
            return self._pull_once()
        with self._want:
            self._asked += 1
            ticket = self._asked
            self._want.notify_all()
            end = time.monotonic() + timeout_s
            while self._served < ticket:
                if self._failed >= ticket:
                    return False
                left = end - time.monotonic()
                if left <= 0:
                    return False
                self._want.wait(left)
        return True

    def serve_refreshes(self, gap_s: float) -> None:
        """The thread behind `fresh`: one read for all who wait, at most one in `gap_s`."""
        while True:
            with self._want:
                while max(self._served, self._failed) >= self._asked:
                    self._want.wait()
                ticket = self._asked
            ok = self._pull_once()
            with self._want:
                if ok:
                    self._served = ticket
                else:
                    self._failed = ticket
                self._want.notify_all()
            time.sleep(gap_s)

    def _pull_once(self) -> bool:
        try:
            self.pull(0.0)
        except (UnavailableError, OutcomeUnknownError):
            return False
        return True

    # -- reading ---------------------------------------------------------------------------------------

    def get(self, key: str) -> Row | None:
        """One row as mirrored."""
        with self._lock:
            return self._row(key)

    def _row(self, key: str) -> Row | None:
        return self._families.get(_family(key), {}).get(key)

    def read_together(self, key: str, families: Iterable[str]) -> tuple[Row | None, list[list[Row]]]:
        """One row and the rows of some families, as of one revision."""
        with self._lock:
            return self._row(key), [list(self._families.get(family, {}).values()) for family in families]

    def rows_below(self, family: str) -> list[Row]:
        """The rows of one family (`records.MEMBERS` and the like), in key order."""
        with self._lock:
            return sorted(self._families.get(family, {}).values(), key=lambda r: r.key)

    def has_job(self, job_id: str) -> bool:
        """Whether there is a record of the job, as far as is known here."""
        return self.get(records.key(job_id)) is not None

    def job_state(self, job_id: str) -> records.State | None:
        """A job's record and where its tasks stand, or None if there is none.

        UnavailableError while the rows are being read again, or if they can't be read.
        """
        with self._lock:
            row = self._row(records.key(job_id))
            if row is None:
                if self._torn:
                    raise UnavailableError("the records are being read")
                return None
            record = self._record(row)
            if record.over:
                return records.State(record, row.version, 0, record.done)
            if self._torn:
                raise UnavailableError("the records are being read")
            progress = self.task_log.jobs.get(job_id)
            if progress is None:
                return records.State(record, row.version)
            return records.State(record, row.version, len(progress.open), len(progress.done))

    def _record(self, row: Row) -> records.Record:
        known = self._records.get(row.key)
        if known is not None and known[0] == row.version:
            return known[1]
        try:
            record = records.decode(row.value)
        except UnreadableError as bad:
            log.error("%s: %s", row.key, bad)
            raise UnavailableError(f"{row.key} can't be read") from bad
        self._records[row.key] = (row.version, record)
        return record

    def is_cancelled(self, job_id: str) -> bool:
        """Whether the job is known here as cancelled: final, whatever else is not known."""
        with self._lock:
            row = self._row(records.key(job_id))
            try:
                return row is not None and self._record(row).cancelled > 0
            except UnavailableError:
                return False

    def placements_on(self, machine: str) -> list[tuple[str, int, int, int, bool]]:
        """What the records put on a machine: job, task, attempt, epoch, whether the job is cancelled."""
        with self._lock:
            if self._torn:
                raise UnavailableError("the records are being read")
            out = []
            for (job, task), (attempt, epoch) in self.task_log.at.get(machine, {}).items():
                row = self._row(records.key(job))
                if row is not None:
                    out.append((job, task, attempt, epoch, self._record(row).cancelled > 0))
            return out

    def open_jobs(self) -> list[StoredJob]:
        """All jobs that are not over, for a new leader. UnavailableError if any can't be read."""
        with self._lock:
            if self._torn:
                raise UnavailableError("the records are being read")
            out = []
            for row in self._families.get(JOBS, {}).values():
                record = self._record(row)
                progress = self.task_log.jobs.get(record.spec.id)
                if not record.over or (progress is not None and progress.open):
                    out.append(StoredJob(record, row.version, progress))
            return out

    def jobs_since(self, revision: int) -> list[Row]:
        """The records of jobs that were written after a revision."""
        with self._lock:
            return [r for r in self._families.get(JOBS, {}).values() if r.version > revision]


def _family(key: str) -> str:
    return key[: key.find("/", len(records.PREFIX)) + 1]
