"""The project's state service with the page's remaining limits, fast enough for the keys of some days.

As PROTOCOL says: a listing holds at most 1,000 items and 512 KiB, and the last 10,000 changes are kept.
"""

import bisect
import json
import time
from typing import Any

import harness  # noqa: F401 - sets the path

from standins.http_service import Response
from standins.state_service import StateService

MAX_ITEMS = 1000
MAX_BYTES = 512 * 1024
MAX_CHANGES = 10_000


class LongState(StateService):
    """A state service for many keys. Both limits of requests hold, with bursts of one second's worth."""

    def __init__(self, rps: float, write_rps: float) -> None:
        self._keys: list[str] = []  # sorted, as of revision `_keys_of`
        self._keys_of = -1
        self._sizes: dict[str, int] = {}  # of the items that `put_all` has set, in bytes
        self.answers: dict[str, int] = {}  # listings by status
        super().__init__(rps, write_rps)

    def put_all(self, values: dict[str, Any]) -> None:
        """Set keys outside of the limits: what was written over a long time."""
        with self._changed:
            for key, value in values.items():
                self._apply([{"set": key, "v": value}])
                self._sizes[key] = len(json.dumps({"path": key, "v": value, "stamp": self.epoch}))
            del self._log[:-MAX_CHANGES]

    def _handle(self, request: Any) -> Response:
        response = super()._handle(request)
        if request.path == "/store":
            name = f"listing {response.status}"
            self.answers[name] = self.answers.get(name, 0) + 1
        return response

    def _scan(self, query: dict[str, str]) -> Response:
        limit = min(MAX_ITEMS, int(query.get("limit", MAX_ITEMS)))
        prefix, since = query.get("prefix", ""), query.get("since", "")
        with self._changed:
            self._expire()
            if self._keys_of != self.epoch:
                self._keys, self._keys_of = sorted(self._rows), self.epoch
            index = max(bisect.bisect_right(self._keys, since), bisect.bisect_left(self._keys, prefix))
            rows: list[dict[str, Any]] = []
            size = 0
            while index < len(self._keys) and self._keys[index].startswith(prefix):
                key = self._keys[index]
                row = {"path": key, "v": self._rows[key].value, "stamp": self._rows[key].version}
                size += self._sizes.get(key) or len(json.dumps(row))
                if len(rows) == limit or size > MAX_BYTES:
                    return Response(200, {"rows": rows, "more": True, "epoch": self.epoch})
                rows.append(row)
                index += 1
            return Response(200, {"rows": rows, "more": False, "epoch": self.epoch})

    def _watch(self, query: dict[str, str]) -> Response:
        since, prefix = int(query["since"]), query.get("prefix", "")
        deadline = time.monotonic() + int(query.get("block_ms", 0)) / 1000.0
        with self._changed:
            while True:
                self._expire()
                del self._log[:-MAX_CHANGES]
                if len(self._log) == MAX_CHANGES and since < self._log[0]["stamp"] - 1:
                    return Response(410, {"error": "compacted", "epoch": self.epoch})
                first = bisect.bisect_right(self._log, since, key=lambda change: change["stamp"])
                log = [c for c in self._log[first:] if (c.get("set") or c["drop"]).startswith(prefix)]
                remaining_s = deadline - time.monotonic()
                if log or remaining_s <= 0:
                    return Response(200, {"epoch": self.epoch, "log": log})
                self._changed.wait(min(remaining_s, 0.2))
