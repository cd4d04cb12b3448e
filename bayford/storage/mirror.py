"""A mirror of our part of the store, fed by changes.

Monotone by construction: a row is replaced only by one with a larger stamp. `fresh()` makes it
linearizable: one read of the changes since its revision, shared by everybody who asked before that read
was sent, so a poll costs the state service a fraction of a request.
"""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from bayford.storage import records
from bayford.storage.store import Compacted, Row, Store, Unavailable, Unknown

Listener = Callable[[list[Row]], None]


class Mirror:
    """All rows under `records.PREFIX`, by key."""

    def __init__(self, store: Store, listener: Listener | None = None, threaded: bool = True) -> None:
        """Without `threaded` there is no thread behind `fresh`: the caller's own reads."""
        self._threaded = threaded
        self._store = store
        self._lock = threading.Lock()
        self._rows: dict[str, Row] = {}
        self._gone: dict[str, int] = {}
        self._records: dict[str, tuple[int, records.Record]] = {}
        self.revision = -1  # -1: never loaded
        self.fresh_at = -1e18  # a moment at which the mirror was known to be complete
        self._listener = listener
        self._want = threading.Condition()
        self._asked = 0
        self._served = 0
        self._failed = 0

    # -- feeding ---------------------------------------------------------------------------------------

    def apply(self, rows: Iterable[Row], revision: int | None = None, tell: bool = True) -> None:
        """Take rows in and tell the listener those that were news, unless they are its own writes."""
        news = []
        with self._lock:
            for row in rows:
                old = self._rows.get(row.key)
                if (old is not None and old.stamp >= row.stamp) or self._gone.get(row.key, -1) >= row.stamp:
                    continue
                if row.value is None:
                    self._rows.pop(row.key, None)
                    self._gone[row.key] = row.stamp
                else:
                    self._rows[row.key] = row
                news.append(row)
            if revision is not None and revision > self.revision:
                self.revision = revision
                if len(self._gone) > 2000:
                    self._gone.clear()
        if news and tell and self._listener is not None:
            self._listener(news)

    def reload(self) -> None:
        """Read everything again: at the start, and when the changes have been compacted."""
        rows, revision = self._store.scan(records.PREFIX)
        keys = {row.key for row in rows}
        with self._lock:
            missing = [
                Row(k, None, revision) for k, r in self._rows.items() if k not in keys and r.stamp <= revision
            ]
        self.apply([*rows, *missing], revision)

    def pull(self, wait_s: float) -> None:
        """One read of changes, waiting up to `wait_s` for the first."""
        if self.revision < 0:
            self.reload()
        began = time.monotonic()
        try:
            rows, revision = self._store.changes(records.PREFIX, self.revision, wait_s)
        except Compacted:
            self.reload()
            return
        self.apply(rows, revision)
        if wait_s == 0:
            self.fresh_at = max(self.fresh_at, began)

    # -- linearizable reads ----------------------------------------------------------------------------

    def fresh(self, timeout_s: float) -> bool:
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

    def serve(self, gap_s: float) -> None:
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
        except (Unavailable, Unknown):
            return False
        return True

    # -- reading ---------------------------------------------------------------------------------------

    def get(self, key: str) -> Row | None:
        """One row as mirrored."""
        with self._lock:
            return self._rows.get(key)

    def below(self, prefix: str) -> list[Row]:
        """The rows with a prefix, in key order."""
        with self._lock:
            return sorted((r for k, r in self._rows.items() if k.startswith(prefix)), key=lambda r: r.key)

    def record(self, job_id: str) -> tuple[records.Record, int] | None:
        """A job's record and stamp as mirrored, or None if there is none.

        Unavailable while its pieces don't belong together: a reload reads page by page, and a piece may have
        been written between two of them. The changes that follow mend it; until then nobody may be told 404.
        """
        base_key = records.key(job_id)
        with self._lock:
            row = self._rows.get(base_key)
            if row is None:
                return None
            known = self._records.get(job_id)
            if known is not None and known[0] == row.stamp:
                return known[1], row.stamp
            rest: list[Any] = []
            for n in range(1, records.pieces(row.value)):
                piece = self._rows.get(f"{base_key}.{n}")
                if piece is None:
                    raise Unavailable(f"a piece of {base_key} is missing")
                rest.append(piece.value)
        try:
            record = records.decode(row.value, rest)
        except (ValueError, TypeError, KeyError) as bad:
            raise Unavailable(f"the pieces of {base_key} don't fit: {bad!r}") from bad
        with self._lock:
            self._records[job_id] = (row.stamp, record)
        return record, row.stamp

    def job_ids(self) -> list[str]:
        """Ids of all jobs mirrored."""
        with self._lock:
            return [
                k[len(records.JOBS) :]
                for k in self._rows
                if k.startswith(records.JOBS) and not records.is_piece(k)
            ]
