"""A watch cache of all rows under `records.PREFIX`, and the task log that is built from its rows.

The cache is monotonic: a row is replaced only by one with a larger version. `refresh()` makes subsequent
reads linearizable: it waits for one read of the changes since the cache's revision. All callers that are
waiting when that read is sent share it, so a query costs the key-value store a fraction of a request.
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
    """The stored state of a job that is not final or still has tasks on machines."""

    record: records.Record
    version: int
    progress: Progress | None  # None: the task log has no entries of the job


class RecordedPlacement(NamedTuple):
    """A task that is on a machine according to the task log."""

    job: str
    task: int
    attempt: int
    epoch: int  # of the machine
    cancelled: bool  # whether the job is cancelled


class WatchCache:
    """A cache of all rows under `records.PREFIX`, by key. Thread-safe.

    Methods that need the task log raise UnavailableError while it is not consistent with the rows.
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
        """`layout_bytes`: value size that sets the task log's block size if the store has no layout record.
        `listener`: called with changed rows, without the lock on them. `threaded`: whether a thread in
        `serve_refreshes` reads for callers of `refresh`. `on_read`: called after a read advanced `as_of`."""
        self._store = store
        self._layout_bytes = layout_bytes
        self._listener = listener
        self._threaded = threaded
        self._clock = clock
        self._on_read = on_read
        # Serializes deliveries: held from the update of the cache until the listener has returned. Rows are
        # thus delivered in the order in which they are applied, and a read returns only after all its rows
        # are delivered. Otherwise a second read, whose rows are cached and not delivered again, could return
        # and count as proof that all earlier cancellations were handled while the listener has yet to handle
        # one. Reentrant: a listener may apply rows. Acquired before `_lock`, never while that is held.
        self._delivery_lock = threading.RLock()
        # Guards the rows, the state derived from them and the two flags below. Held for short computations
        # only, never during a request or a call of the listener.
        self._lock = threading.Lock()
        self._rows: dict[str, dict[str, Row]] = {}  # prefix (see `_prefix`) -> key -> row
        self._deleted_versions: dict[str, int] = {}  # stops older rows from restoring deleted keys
        self._records: dict[str, tuple[int, records.Record]] = {}  # key -> version, decoded record
        self.task_log = TaskLog(layout_bytes)
        # The pages of a scan are of different revisions; only the changes applied after it make the rows
        # consistent. Until then, and while a row of the task log is unreadable, the task log is stale.
        self._is_task_log_stale = True
        self._is_reloading = False  # allows one reload at a time
        self.revision = -1  # of the store; -1 until the first load
        # Clock time at which the last applied read was sent. Everything that any controller committed before
        # that time is in the cache and has been delivered to the listener.
        self.as_of = NEVER
        self._shared_reads = SharedReads(self._try_pull)

    # -- updating --------------------------------------------------------------------------------------

    def apply(self, rows: Iterable[Row], revision: int | None = None, notify: bool = True) -> None:
        """Update the cache and deliver the rows that changed to the listener.

        `revision`: the revision up to which the cache is complete with these rows; None if that is unknown.
        `notify`: False for rows written by the listener itself, which are not delivered.
        """
        with self._delivery_lock:
            changed = self._update_rows(rows, revision)
            if changed and notify and self._listener is not None:
                self._listener(changed)

    def _update_rows(self, rows: Iterable[Row], revision: int | None) -> list[Row]:
        """Update the cache; return the rows that changed, without those of the task log."""
        changed: list[Row] = []
        log_rows: list[Row] = []
        with self._lock:
            for row in rows:
                if not self._store_if_newer(row):
                    continue
                if row.key.startswith(LOG):
                    log_rows.append(row)
                else:
                    changed.append(row)
            if self._stored_layout_bytes() != self.task_log.layout_bytes:
                self._is_task_log_stale = True  # the task log was built with another block size
            if not self._is_task_log_stale:
                self._extend_task_log(log_rows)
            if revision is not None and revision > self.revision:
                self.revision = revision
                if len(self._deleted_versions) > MAX_DELETED_VERSIONS:
                    self._deleted_versions.clear()
        return changed

    def _store_if_newer(self, row: Row) -> bool:
        """Store the row; return False if it is not newer than the cached or deleted row of its key."""
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
            log.error("task log unreadable: error=%s", error)
            self._is_task_log_stale = True

    def reload(self) -> None:
        """Read all rows: at start-up, and again after a compaction or while the task log is stale.

        Raises UnavailableError if the store is unavailable, if it compacts the changes faster than they are
        read, or if another thread is reloading.
        """
        with self._lock:
            if self._is_reloading:
                raise UnavailableError("the records are being read")
            self._is_reloading = True
        try:
            self._reload()
        except CompactedError as error:
            raise UnavailableError("the records change faster than they are read") from error
        finally:
            with self._lock:
                self._is_reloading = False

    def _reload(self) -> None:
        rows, revision = self._store.scan(records.PREFIX)
        keys = {row.key for row in rows}
        with self._lock:
            self._is_task_log_stale = True
            deleted = [
                Row(row.key, None, revision)
                for rows_by_key in self._rows.values()
                for row in rows_by_key.values()
                if row.key not in keys and row.version <= revision
            ]
        self.apply([*rows, *deleted], revision)
        rows, revision = self._store.watch(records.PREFIX, revision, 0.0)
        self.apply(rows, revision)
        with self._lock:
            self._rebuild_task_log()

    def _stored_layout_bytes(self) -> int | None:
        """Return the value size that determines the block size; None if the layout record is invalid.

        The stored size takes precedence over the one from the settings: with the block size of a new limit in
        the settings file, every existing snapshot would be misread.
        """
        row = self._row(LAYOUT)
        if row is None:
            return self._layout_bytes
        value_bytes = row.value.get("value_bytes") if isinstance(row.value, dict) else None
        return value_bytes if isinstance(value_bytes, int) and value_bytes > 0 else None

    def _rebuild_task_log(self) -> None:
        layout_bytes = self._stored_layout_bytes()
        if layout_bytes is None:
            log.error("task log unreadable: key=%s reason=invalid layout record", LAYOUT)
            return
        if layout_bytes != self.task_log.layout_bytes:
            self.task_log = TaskLog(layout_bytes)
        log_rows = [(row.key, row.version, row.value) for row in self._rows.get(LOG, {}).values()]
        try:
            self.task_log.rebuild(log_rows)
            self._is_task_log_stale = False
        except UnreadableError as error:
            # The contents of an unreadable row must not be treated as absent: the task log stays stale, so
            # no leader starts tasks based on it.
            log.error("task log unreadable: error=%s", error)

    def pull(self, wait_s: float) -> None:
        """Read and apply the changes since the cache's revision, waiting up to `wait_s` for the first one.

        Raises UnavailableError or OutcomeUnknownError if the store does not answer.
        """
        if self.revision < 0 or self._is_task_log_stale:
            self.reload()
        sent_at = self._clock()
        try:
            rows, revision = self._store.watch(records.PREFIX, self.revision, wait_s)
        except CompactedError:
            self.reload()
        else:
            self.apply(rows, revision)
        # Also valid for a read that waited: it returns at least everything committed before it was sent.
        if sent_at > self.as_of:
            self.as_of = sent_at
            self._on_read()

    def with_task_log(self, query: Callable[[TaskLog], T]) -> T:
        """Return the result of `query`, called with the lock held.

        `query` must be short and must not retain a reference to the task log.
        """
        with self._lock:
            self._require_task_log()
            return query(self.task_log)

    def _require_task_log(self) -> None:
        if self._is_task_log_stale:
            raise UnavailableError("the records are being read")

    # -- linearizable reads ----------------------------------------------------------------------------

    def refresh(self, timeout_s: float) -> bool:
        """Wait until a read that was sent after this call has been applied; return False on failure."""
        if not self._threaded:
            return self._try_pull()
        return self._shared_reads.wait(timeout_s)

    def serve_refreshes(self, pause_s: float) -> None:
        """Run the reads for `refresh`, one for all waiting callers, with a pause of `pause_s` after each.

        The body of a thread; never returns.
        """
        self._shared_reads.serve(pause_s)

    def _try_pull(self) -> bool:
        try:
            self.pull(0.0)
        except (UnavailableError, OutcomeUnknownError):
            return False
        return True

    # -- reading ---------------------------------------------------------------------------------------

    def get(self, key: str) -> Row | None:
        """Return the cached row of a key, None if there is none."""
        with self._lock:
            return self._row(key)

    def _row(self, key: str) -> Row | None:
        return self._rows.get(_prefix(key), {}).get(key)

    def read_atomically(self, key: str, prefixes: Iterable[str]) -> tuple[Row | None, list[list[Row]]]:
        """Return one row and all rows under each prefix, read atomically."""
        with self._lock:
            return self._row(key), [list(self._rows.get(prefix, {}).values()) for prefix in prefixes]

    def rows_with_prefix(self, prefix: str) -> list[Row]:
        """Return the rows under a prefix, such as `records.MEMBERS`, in key order."""
        with self._lock:
            return sorted(self._rows.get(prefix, {}).values(), key=lambda row: row.key)

    def has_job(self, job_id: str) -> bool:
        """Return whether the cache has a record of the job."""
        return self.get(records.job_key(job_id)) is not None

    def job_state(self, job_id: str) -> records.JobState | None:
        """Return a job's record and the number of its open and done tasks; None if there is no record.

        Raises UnavailableError if the record or, where it is needed, the task log is unreadable or reloading.
        """
        with self._lock:
            row = self._row(records.job_key(job_id))
            if row is None:
                self._require_task_log()
                return None
            record = self._decoded_record(row)
            if record.is_final:
                return records.JobState(record, row.version, 0, record.done)
            self._require_task_log()
            progress = self.task_log.jobs.get(job_id)
            if progress is None:
                return records.JobState(record, row.version)
            return records.JobState(record, row.version, len(progress.open), len(progress.done))

    def _decoded_record(self, row: Row) -> records.Record:
        cached = self._records.get(row.key)
        if cached is not None and cached[0] == row.version:
            return cached[1]
        try:
            record = records.decode(row.value)
        except UnreadableError as error:
            log.error("record unreadable: key=%s reason=%s", row.key, error)
            raise UnavailableError(f"{row.key} can't be read") from error
        self._records[row.key] = (row.version, record)
        return record

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether the cached record of the job is cancelled, which is final.

        True is therefore never outdated; False may be.
        """
        with self._lock:
            row = self._row(records.job_key(job_id))
            try:
                return row is not None and self._decoded_record(row).cancelled > 0
            except UnavailableError:
                return False

    def placements_on(self, machine: str) -> list[RecordedPlacement]:
        """Return the tasks that are on a machine according to the task log, in any of its epochs.

        Raises UnavailableError if the task log or one of the jobs' records is unreadable or reloading.
        """
        with self._lock:
            self._require_task_log()
            placements = []
            for (job, task), (attempt, epoch) in self.task_log.placements_by_machine.get(machine, {}).items():
                row = self._row(records.job_key(job))
                if row is not None:
                    cancelled = self._decoded_record(row).cancelled > 0
                    placements.append(RecordedPlacement(job, task, attempt, epoch, cancelled))
            return placements

    def open_jobs(self) -> list[StoredJob]:
        """Return all jobs that are not final or still have tasks on machines, for a new leader.

        Raises UnavailableError if a record or the task log is unreadable or reloading.
        """
        with self._lock:
            self._require_task_log()
            jobs = []
            for row in self._rows.get(JOBS, {}).values():
                record = self._decoded_record(row)
                progress = self.task_log.jobs.get(record.spec.id)
                if not record.is_final or (progress is not None and progress.open):
                    jobs.append(StoredJob(record, row.version, progress))
            return jobs

    def job_rows_since(self, revision: int) -> list[Row]:
        """Return the rows of jobs' records that were written after a revision."""
        with self._lock:
            return [row for row in self._rows.get(JOBS, {}).values() if row.version > revision]


def _prefix(key: str) -> str:
    """Return the first two segments of a key, which identify its kind: `b/j/` for `b/j/req-000001`."""
    return key[: key.find("/", len(records.PREFIX)) + 1]
