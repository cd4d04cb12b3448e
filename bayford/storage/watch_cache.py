"""A watch cache of this system's part of the store, fed by changes, and the task log that its rows add up to.

Monotone by construction: a row is replaced only by one with a larger version. `refresh()` makes reads of it
linearizable: one read of the changes since its revision, shared by all who asked before that read was sent,
so a query costs the state service a fraction of a request.
"""

import logging
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

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
from bayford.storage.shared_reads import SharedReads
from bayford.storage.task_log import Progress, TaskLog

log = logging.getLogger(__name__)

MAX_DELETED_VERSIONS = 2000

T = TypeVar("T")
Listener = Callable[[list[Row]], None]


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job that is not over, as the store has it."""

    record: records.Record
    version: int
    progress: Progress | None  # None: the task log has no entry for it


class RecordedPlacement(NamedTuple):
    """A task that the records put on a machine."""

    job: str
    task: int
    attempt: int
    epoch: int  # of the machine
    cancelled: bool  # the job is


class WatchCache:
    """All rows under `records.PREFIX`, by key. May be used from any thread.

    Methods that need the task log raise UnavailableError while it does not match the rows.
    """

    def __init__(
        self,
        store: KeyValueStore,
        layout_bytes: int,
        listener: Listener | None = None,
        threaded: bool = True,
        clock: Callable[[], float] = time.monotonic,
        on_read: Callable[[], None] = lambda: None,
    ) -> None:
        """`layout_bytes`: what the task log is laid out for, unless the store says otherwise. `listener` is
        called with rows that have changed, outside the lock on the rows. Without `threaded` the caller of
        `refresh` reads by itself. `on_read` is called after each read that has advanced `as_of`."""
        self._store = store
        self._layout_bytes = layout_bytes
        self._listener = listener
        self._threaded = threaded
        self._clock = clock
        self._on_read = on_read
        # Guards the order of deliveries: held from taking rows in until the listener has returned. So rows
        # are delivered in the order in which they are taken in, and whoever has read returns only when all
        # that its read shows has been delivered. Else a second read, which finds the rows here already,
        # would vouch for a cancellation that nobody has acted upon yet. Reentrant, so that a listener may
        # take rows in, too. Taken before `_lock`, never while that is held.
        self._delivery_lock = threading.RLock()
        # Guards the rows, all that is derived from them and the flags on their state. Held for short
        # computations only, never during a request or a call of the listener.
        self._lock = threading.Lock()
        self._rows: dict[str, dict[str, Row]] = {}  # prefix (the first two words of the key) -> key -> row
        self._deleted_versions: dict[str, int] = {}  # so that an older row does not bring a deleted key back
        self._records: dict[str, tuple[int, records.Record]] = {}  # key -> version, decoded record
        self.task_log = TaskLog(layout_bytes)
        # Rows read page by page are of several moments; only the changes that follow make them one revision.
        # Until then, and while a row can't be read, the task log does not match the rows.
        self._task_log_stale = True
        self._reloading = False  # one reload at a time
        self.revision = -1  # -1: never loaded
        # As of which moment the cache is complete: the sending of the last read that was taken in. All that
        # was committed before then, by whomever, is here and has been delivered to the listener.
        self.as_of = NEVER
        self._shared_reads = SharedReads(self._try_pull)

    # -- feeding ---------------------------------------------------------------------------------------

    def apply(self, rows: Iterable[Row], revision: int | None = None, notify: bool = True) -> None:
        """Take rows in and deliver those that have changed to the listener, unless they are its own writes
        (`notify` False). `revision`: as of which the rows are complete, if they are."""
        with self._delivery_lock:
            changed = self._take_in(rows, revision)
            if changed and notify and self._listener is not None:
                self._listener(changed)

    def _take_in(self, rows: Iterable[Row], revision: int | None) -> list[Row]:
        """The rows that have changed, those of the task log aside."""
        changed: list[Row] = []
        log_rows: list[Row] = []
        with self._lock:
            for row in rows:
                if not self._replace(row):
                    continue
                if row.key.startswith(LOG):
                    log_rows.append(row)
                else:
                    changed.append(row)
            if self._stored_layout_bytes() != self.task_log.layout_bytes:
                self._task_log_stale = True  # what was read with other blocks is to be read again
            if not self._task_log_stale:
                self._extend_task_log(log_rows)
            if revision is not None and revision > self.revision:
                self.revision = revision
                if len(self._deleted_versions) > MAX_DELETED_VERSIONS:
                    self._deleted_versions.clear()
        return changed

    def _replace(self, row: Row) -> bool:
        """Put the row in the place of an older one; False if it is not newer than what is known."""
        rows = self._rows.setdefault(_prefix(row.key), {})
        old = rows.get(row.key)
        if old is not None and old.version >= row.version:
            return False
        if self._deleted_versions.get(row.key, -1) >= row.version:
            return False
        if row.value is None:
            rows.pop(row.key, None)
            self._deleted_versions[row.key] = row.version
        else:
            rows[row.key] = row
        return True

    def _extend_task_log(self, log_rows: list[Row]) -> None:
        try:
            for row in log_rows:
                self.task_log.apply_row(row.key, row.version, row.value)
        except UnreadableError as error:
            log.error("task log unreadable: %s", error)
            self._task_log_stale = True

    def reload(self) -> None:
        """Read everything again: at the start, and when the changes have been compacted.

        UnavailableError if that is not possible now, or if another thread is at it.
        """
        with self._lock:
            if self._reloading:
                raise UnavailableError("the records are being read")
            self._reloading = True
        try:
            self._reload()
        except CompactedError as error:
            raise UnavailableError("the records change faster than they are read") from error
        finally:
            with self._lock:
                self._reloading = False

    def _reload(self) -> None:
        rows, revision = self._store.scan(records.PREFIX)
        keys = {row.key for row in rows}
        with self._lock:
            self._task_log_stale = True
            deleted = [
                Row(row.key, None, revision)
                for known in self._rows.values()
                for row in known.values()
                if row.key not in keys and row.version <= revision
            ]
        self.apply([*rows, *deleted], revision)
        rows, revision = self._store.watch(records.PREFIX, revision, 0.0)
        self.apply(rows, revision)
        with self._lock:
            self._rebuild_task_log()

    def _stored_layout_bytes(self) -> int | None:
        """The size that the task log's blocks were laid out for; None if it can't be read. The stored size
        goes before the settings', or a settings file with a new limit would misread every snapshot there
        is."""
        row = self._row(LAYOUT)
        if row is None:
            return self._layout_bytes
        value_bytes = row.value.get("value_bytes") if isinstance(row.value, dict) else None
        return value_bytes if isinstance(value_bytes, int) and value_bytes > 0 else None

    def _rebuild_task_log(self) -> None:
        layout_bytes = self._stored_layout_bytes()
        if layout_bytes is None:
            log.error("task log unreadable: key=%s reason=not a layout", LAYOUT)
            return
        if layout_bytes != self.task_log.layout_bytes:
            self.task_log = TaskLog(layout_bytes)
        log_rows = [(row.key, row.version, row.value) for row in self._rows.get(LOG, {}).values()]
        try:
            self.task_log.rebuild(log_rows)
            self._task_log_stale = False
        except UnreadableError as error:
            # What an unreadable row held must not pass for never having been: it stays stale, and nobody
            # starts anything from here.
            log.error("task log unreadable: %s", error)

    def pull(self, wait_s: float) -> None:
        """One read of changes, waiting up to `wait_s` for the first. UnavailableError or
        OutcomeUnknownError if the store gives no answer."""
        if self.revision < 0 or self._task_log_stale:
            self.reload()
        sent_at = self._clock()
        try:
            rows, revision = self._store.watch(records.PREFIX, self.revision, wait_s)
        except CompactedError:
            self.reload()
        else:
            self.apply(rows, revision)
        # Also of a read that waited: it shows at least what was there when it was sent.
        if sent_at > self.as_of:
            self.as_of = sent_at
            self._on_read()

    def with_task_log(self, call: Callable[[TaskLog], T]) -> T:
        """The result of something short on the task log, under the lock. The caller must not keep the log."""
        with self._lock:
            self._require_task_log()
            return call(self.task_log)

    def _require_task_log(self) -> None:
        if self._task_log_stale:
            raise UnavailableError("the records are being read")

    # -- linearizable reads ----------------------------------------------------------------------------

    def refresh(self, timeout_s: float) -> bool:
        """Wait until a read sent after this call has been taken in. False: not possible now."""
        if not self._threaded:
            return self._try_pull()
        return self._shared_reads.wait(timeout_s)

    def serve_refreshes(self, gap_s: float) -> None:
        """The thread behind `refresh`: one read for all who wait, at least `gap_s` apart. Never returns."""
        self._shared_reads.serve(gap_s)

    def _try_pull(self) -> bool:
        try:
            self.pull(0.0)
        except (UnavailableError, OutcomeUnknownError):
            return False
        return True

    # -- reading ---------------------------------------------------------------------------------------

    def get(self, key: str) -> Row | None:
        """One row as cached."""
        with self._lock:
            return self._row(key)

    def _row(self, key: str) -> Row | None:
        return self._rows.get(_prefix(key), {}).get(key)

    def read_together(self, key: str, prefixes: Iterable[str]) -> tuple[Row | None, list[list[Row]]]:
        """One row and all rows under each of some prefixes, as of one revision."""
        with self._lock:
            return self._row(key), [list(self._rows.get(prefix, {}).values()) for prefix in prefixes]

    def rows_below(self, prefix: str) -> list[Row]:
        """The rows under one prefix (`records.MEMBERS` and the like), in key order."""
        with self._lock:
            return sorted(self._rows.get(prefix, {}).values(), key=lambda row: row.key)

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
                self._require_task_log()
                return None
            record = self._record(row)
            if record.over:
                return records.State(record, row.version, 0, record.done)
            self._require_task_log()
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
        except UnreadableError as error:
            log.error("record unreadable: key=%s reason=%s", row.key, error)
            raise UnavailableError(f"{row.key} can't be read") from error
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

    def placements_on(self, machine: str) -> list[RecordedPlacement]:
        """What the records put on a machine, in any of its epochs. UnavailableError if that is not known."""
        with self._lock:
            self._require_task_log()
            placements = []
            for (job, task), (attempt, epoch) in self.task_log.placed_on.get(machine, {}).items():
                row = self._row(records.key(job))
                if row is not None:
                    cancelled = self._record(row).cancelled > 0
                    placements.append(RecordedPlacement(job, task, attempt, epoch, cancelled))
            return placements

    def open_jobs(self) -> list[StoredJob]:
        """All jobs that are not over, or still have tasks on machines, for a new leader.

        UnavailableError if any can't be read.
        """
        with self._lock:
            self._require_task_log()
            jobs = []
            for row in self._rows.get(JOBS, {}).values():
                record = self._record(row)
                progress = self.task_log.jobs.get(record.spec.id)
                if not record.over or (progress is not None and progress.open):
                    jobs.append(StoredJob(record, row.version, progress))
            return jobs

    def jobs_since(self, revision: int) -> list[Row]:
        """The records of jobs that were written after a revision."""
        with self._lock:
            return [row for row in self._rows.get(JOBS, {}).values() if row.version > revision]


def _prefix(key: str) -> str:
    """The first two words of a key, which tell what it holds: `b/j/` of `b/j/req-000001`."""
    return key[: key.find("/", len(records.PREFIX)) + 1]
