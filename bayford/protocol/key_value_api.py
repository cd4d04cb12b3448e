"""The state service's HTTP interface as a `storage.store.KeyValueStore`."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec
import orjson

from bayford.storage.key_value_store import (
    CompactedError,
    LeaseGoneError,
    Outcome,
    OutcomeUnknownError,
    Put,
    Row,
    TooLargeError,
    UnavailableError,
)

# method, path, body, seconds to wait -> status, body. Raises Unavailable or Unknown, as `KeyValueStore` says.
Caller = Callable[[str, str, bytes | None, float], tuple[int, bytes]]

PAGE = 400


class _Rows(msgspec.Struct):
    rows: list[dict[str, Any]]
    epoch: int
    more: bool = False


class _Log(msgspec.Struct):
    epoch: int
    log: list[dict[str, Any]] = []


class _Result(msgspec.Struct):
    epoch: int
    failed: list[str] = []


class _Permit(msgspec.Struct):
    permit: int


_rows = msgspec.json.Decoder(_Rows)
_log = msgspec.json.Decoder(_Log)
_result = msgspec.json.Decoder(_Result)
_permit = msgspec.json.Decoder(_Permit)


class KeyValueApi:
    """One typed call per request; `call` carries it, `timeout_s` bounds it."""

    def __init__(self, call: Caller, timeout_s: float = 2.0) -> None:
        self._call = call
        self._timeout = timeout_s

    def _ask(
        self, method: str, path: str, body: Any = None, extra_s: float = 0.0, ok: tuple[int, ...] = (200,)
    ) -> tuple[int, bytes]:
        data = None if body is None else orjson.dumps(body)
        status, raw = self._call(method, path, data, self._timeout + extra_s)
        if status in (429, 503):
            raise UnavailableError(f"{method} {path}: {status}", refused=True)
        if status not in ok:
            # Anything the page does not list is taken as not executed only if it says so: 4xx.
            text = f"{method} {path}: {status} {raw[:200]!r}"
            raise UnavailableError(text, refused=True) if 400 <= status < 500 else OutcomeUnknownError(text)
        return status, raw

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        """All rows; the revision of the first page, so that changes since then cover the later ones."""
        out: list[Row] = []
        revision = -1
        since = ""
        while True:
            path = f"/store?prefix={quote(prefix)}&limit={PAGE}"
            if since:
                path += f"&since={quote(since)}"
            page = _rows.decode(self._ask("GET", path)[1])
            if revision < 0:
                revision = page.epoch
            out += [Row(r["path"], r["v"], r["stamp"]) for r in page.rows]
            if not page.more or not page.rows:
                return out, revision
            since = out[-1].key

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        """An atomic transaction."""
        then: list[dict[str, Any]] = []
        for put in puts:
            if put.value is None:
                then.append({"drop": put.key})
            elif put.lease is None:
                then.append({"set": put.key, "v": put.value})
            else:
                then.append({"set": put.key, "v": put.value, "permit": put.lease})
        body: dict[str, Any] = {"when": [{"path": k, "stamp": s} for k, s in conditions.items()]}
        if then:
            body["then"] = then
        data = orjson.dumps(body)
        status, raw = self._call("POST", "/multi", data, self._timeout)
        if status == 200:
            return Outcome(_result.decode(raw).epoch)
        if status == 409:
            got = _result.decode(raw)
            return Outcome(got.epoch, tuple(got.failed) or ("?",))
        if status == 400 and b"no such lease" in raw:
            raise LeaseGoneError
        if status == 400:
            raise TooLargeError(f"transaction: {status} {raw[:200]!r}")
        if status in (429, 503):
            raise UnavailableError(f"transaction: {status} {raw[:200]!r}", refused=True)
        raise OutcomeUnknownError(f"transaction: {status}")

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        """Changes after `since`."""
        path = f"/changes?prefix={quote(prefix)}&since={since}&block_ms={int(wait_s * 1000)}"
        status, raw = self._ask("GET", path, extra_s=wait_s, ok=(200, 410))
        if status == 410:
            raise CompactedError
        got = _log.decode(raw)
        rows = []
        for event in got.log:
            if "set" in event:
                rows.append(Row(event["set"], event["v"], event["stamp"]))
            else:
                rows.append(Row(event["drop"], None, event["stamp"]))
        return rows, got.epoch

    def grant_lease(self, ttl_s: float) -> int:
        """A new lease."""
        return _permit.decode(self._ask("POST", "/leases", {"ttl_ms": int(ttl_s * 1000)})[1]).permit

    def renew_lease(self, lease: int) -> None:
        """Extend a lease."""
        status, _ = self._ask("POST", f"/leases/{lease}/extend", {}, ok=(200, 204, 404))
        if status == 404:
            raise LeaseGoneError
