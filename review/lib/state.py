"""A stand-in state service that keeps PROTOCOL's limits, with an address of its own for each controller."""

import bisect
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import orjson

from standins.http_service import Request, ServiceControls

MAX_ITEMS = 1000  # of a response to a list request
MAX_LIST_BYTES = 512 * 1024  # of a response to a list request
MAX_TRANSACTION_BYTES = 64 * 1024
KEPT_CHANGES = 10_000
WAIT_S = 0.1  # the longest wait of a watch until it looks for expired leases again


@dataclass(frozen=True)
class Limits:
    """The limits in the settings (`facts.state`), and the usual time until a response."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    latency_s: float = 0.005


@dataclass(frozen=True)
class Response:
    """A response; the body is JSON."""

    status: int
    body: bytes = b"{}"


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppress the traceback: clients may break connections at any time."""


class _Address:
    """One address of the store, with a thread for each connection."""

    def __init__(self, state: "State", controller: str, controls: ServiceControls) -> None:
        class Handler(BaseHTTPRequestHandler):
            """Serves the requests of one connection."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                received = self.rfile.read(length) if length else b""
                target = urlsplit(self.path)
                body = orjson.loads(received) if received else None
                request = Request(self.command, target.path, dict(parse_qsl(target.query)), body)
                down = controls.is_down
                response = (
                    Response(503, b'{"error":"trouble"}') if down else state.handle(controller, request)
                )
                head = f"HTTP/1.1 {response.status} -\r\nContent-Length: {len(response.body)}\r\n\r\n"
                self.wfile.write(head.encode() + response.body)

            do_GET = do_POST = do_DELETE = _serve  # noqa: N815 (named by http.server)

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.1,), daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class _Bucket:
    """Tokens of one second's worth."""

    def __init__(self, per_s: float) -> None:
        self._per_s = self._tokens = per_s
        self._at = time.monotonic()

    def take(self, count: float) -> bool:
        now = time.monotonic()
        self._tokens = min(self._per_s, self._tokens + (now - self._at) * self._per_s)
        self._at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


@dataclass
class _Row:
    value: Any
    stamp: int
    permit: int | None
    listed: bytes  # the row in the response to a list request


def _json(status: int, body: dict[str, Any]) -> Response:
    return Response(status, orjson.dumps(body))


class State:
    """The store. `address_for` opens one address for a controller, so that one alone can be refused."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._requests = _Bucket(limits.rps)
        self._writes = _Bucket(limits.write_rps)
        self._changed = threading.Condition()  # guards all that follows
        self._rows: dict[str, _Row] = {}
        self._keys: list[str] = []  # in order
        self._leases: dict[int, tuple[float, float]] = {}  # permit -> end, time to live
        self._log: list[dict[str, Any]] = []
        self._stamps: list[int] = []  # of `_log`
        self._forgotten = 0  # the newest revision that is no longer in `_log`
        self._next_permit = 1
        self.epoch = 1
        self.served: dict[str, int] = {}  # by controller: requests that were executed
        self.refused: dict[str, int] = {}  # by controller: requests above `rps` or `write_rps`
        self.controls: dict[str, ServiceControls] = {}
        self._services: list[_Address] = []

    def address_for(self, controller: str) -> str:
        """Open an address at which one controller reaches the store."""
        controls = self.controls[controller] = ServiceControls()
        self.served[controller] = self.refused[controller] = 0
        service = _Address(self, controller, controls)
        self._services.append(service)
        return service.address

    def close(self) -> None:
        """Stop serving."""
        for service in self._services:
            service.close()

    def seed(self, values: dict[str, Any]) -> None:
        """Write rows as the controllers have written them on earlier days, each in a change of its own."""
        with self._changed:
            for key, value in values.items():
                self._apply([{"set": key, "v": value}])

    def value(self, key: str) -> Any:
        """Return the value of a key, None without one."""
        with self._changed:
            row = self._rows.get(key)
            return None if row is None else row.value

    def values(self, prefix: str) -> dict[str, Any]:
        """Return all values whose keys have a prefix."""
        with self._changed:
            return {key: row.value for key, row in self._rows.items() if key.startswith(prefix)}

    def handle(self, controller: str, request: Request) -> Response:
        """Answer one request of a controller."""
        time.sleep(self._limits.latency_s)
        changes = len((request.body or {}).get("then", ())) if request.path == "/multi" else 0
        with self._changed:
            if not self._requests.take(1) or (changes and not self._writes.take(changes)):
                self.refused[controller] += 1
                return Response(429)
            self.served[controller] += 1
        if request.path == "/multi":
            return self._transact(request.body)
        if request.path == "/changes":
            return self._watch(request.query)
        if request.path.startswith("/leases"):
            return self._lease(request)
        if request.path == "/store":
            return self._list(request.query)
        if request.path.startswith("/store/"):
            return self._get(request.path[len("/store/") :])
        return Response(400)

    def _get(self, key: str) -> Response:
        with self._changed:
            self._expire()
            row = self._rows.get(key)
            if row is None:
                return _json(404, {"epoch": self.epoch})
            return _json(200, {"path": key, "v": row.value, "stamp": row.stamp, "permit": row.permit})

    def _list(self, query: dict[str, str]) -> Response:
        limit = min(MAX_ITEMS, int(query.get("limit", MAX_ITEMS)))
        prefix, since = query.get("prefix", ""), query.get("since", "")
        with self._changed:
            self._expire()
            at = max(bisect.bisect_left(self._keys, prefix), bisect.bisect_right(self._keys, since))
            rows: list[bytes] = []
            size = 0
            more = False
            while at < len(self._keys) and self._keys[at].startswith(prefix):
                row = self._rows[self._keys[at]]
                size += len(row.listed) + 1
                if len(rows) == limit or (rows and size > MAX_LIST_BYTES):
                    more = True
                    break
                rows.append(row.listed)
                at += 1
            end = b'],"more":%s,"epoch":%d}' % (b"true" if more else b"false", self.epoch)
        return Response(200, b'{"rows":[' + b",".join(rows) + end)

    def _transact(self, body: dict[str, Any]) -> Response:
        changes = body.get("then", [])
        conditions = body.get("when", [])
        sizes = [len(orjson.dumps(c.get("v"))) for c in changes]
        with self._changed:
            self._expire()
            if (
                len(changes) > self._limits.txn_ops
                or len(conditions) > 4 * self._limits.txn_ops
                or sum(sizes) > MAX_TRANSACTION_BYTES
                or any(size > self._limits.value_kb * 1024 for size in sizes)
            ):
                return _json(400, {"error": "too large"})
            if any(c.get("permit") is not None and c["permit"] not in self._leases for c in changes):
                return _json(400, {"error": "no such lease"})
            failed = [
                w["path"]
                for w in conditions
                if (self._rows[w["path"]].stamp if w["path"] in self._rows else 0) != w["stamp"]
            ]
            if failed:
                return _json(409, {"failed": failed, "epoch": self.epoch})
            if changes:
                self._apply(changes)
            return _json(200, {"epoch": self.epoch})

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for change in changes:
            if "set" in change:
                self._put(change["set"], change["v"], change.get("permit"))
                self._note({"set": change["set"], "v": change["v"], "stamp": self.epoch})
            elif self._rows.pop(change["drop"], None) is not None:
                del self._keys[bisect.bisect_left(self._keys, change["drop"])]
                self._note({"drop": change["drop"], "stamp": self.epoch})
        self._changed.notify_all()

    def _put(self, key: str, value: Any, permit: int | None) -> None:
        if key not in self._rows:
            bisect.insort(self._keys, key)
        listed = orjson.dumps({"path": key, "v": value, "stamp": self.epoch})
        self._rows[key] = _Row(value, self.epoch, permit, listed)

    def _note(self, change: dict[str, Any]) -> None:
        self._log.append(change)
        self._stamps.append(self.epoch)
        if len(self._log) > 2 * KEPT_CHANGES:
            self._forgotten = self._stamps[-KEPT_CHANGES - 1]
            del self._log[:-KEPT_CHANGES], self._stamps[:-KEPT_CHANGES]

    def _expire(self) -> None:
        now = time.monotonic()
        for permit in [n for n, (end, _) in self._leases.items() if end < now]:
            self._end_lease(permit)

    def _end_lease(self, permit: int) -> None:
        del self._leases[permit]
        keys = [key for key, row in self._rows.items() if row.permit == permit]
        if keys:
            self._apply([{"drop": key} for key in keys])

    def renew_all_leases(self) -> None:
        """Give every lease its full time again, as after an outage."""
        with self._changed:
            now = time.monotonic()
            self._leases = {permit: (now + ttl_s, ttl_s) for permit, (_, ttl_s) in self._leases.items()}

    def _lease(self, request: Request) -> Response:
        segments = request.path.strip("/").split("/")
        with self._changed:
            self._expire()
            if len(segments) == 1:
                permit, ttl_s = self._next_permit, request.body["ttl_ms"] / 1000.0
                self._next_permit += 1
                self._leases[permit] = (time.monotonic() + ttl_s, ttl_s)
                return _json(200, {"permit": permit})
            permit = int(segments[1])
            if permit not in self._leases:
                return Response(404)
            if request.method == "DELETE":
                self._end_lease(permit)
            else:
                ttl_s = self._leases[permit][1]
                self._leases[permit] = (time.monotonic() + ttl_s, ttl_s)
            return Response(200)

    def _watch(self, query: dict[str, str]) -> Response:
        since, prefix = int(query["since"]), query.get("prefix", "")
        deadline = time.monotonic() + int(query.get("block_ms", 0)) / 1000.0
        with self._changed:
            while True:
                self._expire()
                if since < self._forgotten:
                    return _json(410, {"epoch": self.epoch})
                begin = bisect.bisect_right(self._stamps, since)
                log = [c for c in self._log[begin:] if (c.get("set") or c["drop"]).startswith(prefix)]
                left_s = deadline - time.monotonic()
                if log or left_s <= 0:
                    return _json(200, {"epoch": self.epoch, "log": log})
                self._changed.wait(min(left_s, WAIT_S))
