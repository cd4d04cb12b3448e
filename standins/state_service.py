"""Stand-in state service with versioned keys, transactions, leases and a change log, by its protocol."""

import math
import threading
import time
from dataclasses import dataclass
from typing import Any

from bayford.storage.key_value_store import Row
from standins.http_service import HttpService, Request, Response, ServiceControls


class _TokenBucket:
    """A token bucket that refills at a rate per second and holds the tokens of one second."""

    def __init__(self, per_s: float) -> None:
        self._rate_per_s = self._tokens = per_s
        self._refilled_at = time.monotonic()

    def try_take(self, count: int) -> bool:
        """Take `count` tokens; return False and take none if fewer are available."""
        now = time.monotonic()
        if math.isfinite(self._rate_per_s):
            self._tokens = min(self._rate_per_s, self._tokens + (now - self._refilled_at) * self._rate_per_s)
        self._refilled_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


@dataclass
class _Row:
    value: Any
    version: int
    lease: int | None


class StateService:
    """A linearizable in-memory key-value store, served over HTTP."""

    def __init__(self, rps: float = math.inf, write_rps: float = math.inf) -> None:
        """`rps` and `write_rps` limit requests and changed keys per second.

        Requests beyond either limit are answered with 429. Bursts of one second's worth are allowed.
        """
        self._requests = _TokenBucket(rps)
        self._writes = _TokenBucket(write_rps)
        self.refused_requests = 0  # answered with 429
        self.max_renewal_gap_s = 0.0  # longest time that any lease went without renewal
        self.controls = ServiceControls()
        self._changed = threading.Condition()  # guards all stored data; notified on every change
        self._rows: dict[str, _Row] = {}
        # By lease ID: expiry on the monotonic clock and TTL, both in seconds.
        self._leases: dict[int, tuple[float, float]] = {}
        self._log: list[dict[str, Any]] = []
        self.epoch = 1
        self.changes = 0  # puts and deletions applied, including deletions of absent keys
        self._service = HttpService(self._handle, self.controls)
        self.address = self._service.address

    def close(self) -> None:
        """Stop serving."""
        self._service.close()

    def values(self, prefix: str) -> dict[str, Any]:
        """Return the values of all keys with this prefix, by key."""
        with self._changed:
            return {key: row.value for key, row in self._rows.items() if key.startswith(prefix)}

    def history(self) -> list[Row]:
        """Return all changes in the order of their revisions; a deletion has the value None."""
        with self._changed:
            return [Row(c.get("set") or c["drop"], c.get("v"), c["stamp"]) for c in self._log]

    def _handle(self, request: Request) -> Response:
        changes = len(request.body.get("then", ())) if request.path == "/multi" else 0
        with self._changed:
            if not self._requests.try_take(1) or not self._writes.try_take(changes):
                self.refused_requests += 1
                return Response(429)
        if request.path == "/multi":
            return self._transact(request.body)
        if request.path == "/changes":
            return self._watch(request.query)
        if request.path.startswith("/leases"):
            return self._lease(request)
        if request.path == "/store":
            return self._scan(request.query)
        if request.path.startswith("/store/"):
            return self._get(request.path[len("/store/") :])
        return Response(400)

    def _get(self, key: str) -> Response:
        with self._changed:
            self._expire()
            row = self._rows.get(key)
            if row is None:
                return Response(404, {"epoch": self.epoch})
            return Response(200, {"path": key, "v": row.value, "stamp": row.version, "permit": row.lease})

    def _scan(self, query: dict[str, str]) -> Response:
        limit = int(query.get("limit", 1000))
        with self._changed:
            self._expire()
            keys = sorted(
                key
                for key in self._rows
                if key.startswith(query.get("prefix", "")) and key > query.get("since", "")
            )
            rows = [
                {"path": key, "v": self._rows[key].value, "stamp": self._rows[key].version}
                for key in keys[:limit]
            ]
            return Response(200, {"rows": rows, "more": len(keys) > limit, "epoch": self.epoch})

    def _transact(self, body: dict[str, Any]) -> Response:
        changes = body.get("then", [])
        with self._changed:
            self._expire()
            if any(c.get("permit") is not None and c["permit"] not in self._leases for c in changes):
                return Response(400, {"error": "no such lease"})
            failed = [
                w["path"]
                for w in body.get("when", [])
                if (self._rows[w["path"]].version if w["path"] in self._rows else 0) != w["stamp"]
            ]
            if failed:
                return Response(409, {"failed": failed, "epoch": self.epoch})
            if changes:
                self._apply(changes)
            return Response(200, {"epoch": self.epoch})

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.epoch += 1
        self.changes += len(changes)
        for change in changes:
            if "set" in change:
                key, value = change["set"], change["v"]
                self._rows[key] = _Row(value, self.epoch, change.get("permit"))
                self._log.append({"set": key, "v": value, "stamp": self.epoch})
            elif self._rows.pop(change["drop"], None) is not None:
                self._log.append({"drop": change["drop"], "stamp": self.epoch})
        self._changed.notify_all()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [n for n, (expires_at, _) in self._leases.items() if expires_at < now]:
            del self._leases[lease]
            self._delete_keys_of_lease(lease)

    def _delete_keys_of_lease(self, lease: int) -> None:
        keys = [key for key, row in self._rows.items() if row.lease == lease]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def _lease(self, request: Request) -> Response:
        segments = request.path.strip("/").split("/")
        with self._changed:
            self._expire()
            if len(segments) == 1:
                lease = self.epoch * 1000 + len(self._leases)
                ttl_s = request.body["ttl_ms"] / 1000.0
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return Response(200, {"permit": lease})
            lease = int(segments[1])
            if lease not in self._leases:
                return Response(404)
            if request.method == "DELETE":
                del self._leases[lease]
                self._delete_keys_of_lease(lease)
            else:
                expires_at, ttl_s = self._leases[lease]
                renewal_gap_s = ttl_s - (expires_at - time.monotonic())
                self.max_renewal_gap_s = max(self.max_renewal_gap_s, renewal_gap_s)
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return Response(200)

    def _watch(self, query: dict[str, str]) -> Response:
        since = int(query["since"])
        prefix = query.get("prefix", "")
        deadline = time.monotonic() + int(query.get("block_ms", 0)) / 1000.0
        with self._changed:
            while True:
                self._expire()
                log = [
                    c
                    for c in self._log
                    if c["stamp"] > since and (c.get("set") or c["drop"]).startswith(prefix)
                ]
                remaining_s = deadline - time.monotonic()
                if log or remaining_s <= 0:
                    return Response(200, {"epoch": self.epoch, "log": log})
                self._changed.wait(min(remaining_s, 0.2))
