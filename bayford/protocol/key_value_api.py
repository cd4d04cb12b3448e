"""The state service's HTTP interface as a `storage.key_value_store.KeyValueStore`."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec
import orjson

from bayford.protocol.errors import ProtocolError
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

# Sends a request (method, path, body, timeout in seconds) and returns the status and body of the response.
# Raises UnavailableError or OutcomeUnknownError, as documented at `KeyValueStore`.
HttpCall = Callable[[str, str, bytes | None, float], tuple[int, bytes]]

PAGE_ROWS = 400  # rows requested per response; the service returns at most 1,000 rows and 512 KiB


class _ListedRow(msgspec.Struct):
    key: str = msgspec.field(name="path")
    value: Any = msgspec.field(name="v")
    version: int = msgspec.field(name="stamp")


class _Page(msgspec.Struct):
    rows: list[_ListedRow]
    revision: int = msgspec.field(name="epoch")
    more: bool = False


class _Change(msgspec.Struct):
    """One change of a key: either `set_key` or `deleted_key` is present."""

    version: int = msgspec.field(name="stamp")
    set_key: str | None = msgspec.field(name="set", default=None)
    value: Any = msgspec.field(name="v", default=None)
    deleted_key: str | None = msgspec.field(name="drop", default=None)


class _Changes(msgspec.Struct):
    revision: int = msgspec.field(name="epoch")
    changes: list[_Change] = msgspec.field(name="log", default_factory=list)


class _TransactionResult(msgspec.Struct):
    revision: int = msgspec.field(name="epoch")
    failed: list[str] = []


class _Lease(msgspec.Struct):
    lease: int = msgspec.field(name="permit")


_page_decoder = msgspec.json.Decoder(_Page)
_changes_decoder = msgspec.json.Decoder(_Changes)
_transaction_result_decoder = msgspec.json.Decoder(_TransactionResult)
_lease_decoder = msgspec.json.Decoder(_Lease)


class KeyValueApi:
    """Typed methods that each send HTTP requests through `call`, with a timeout of `timeout_s` per request.

    Errors are those documented at `KeyValueStore`.
    """

    def __init__(self, call: HttpCall, timeout_s: float = 2.0) -> None:
        self._call = call
        self._timeout_s = timeout_s

    def _request(
        self,
        method: str,
        path: str,
        body: Any = None,
        extra_timeout_s: float = 0.0,
        expected: tuple[int, ...] = (200,),
    ) -> tuple[int, bytes]:
        """Send a request and return the status, which is one of `expected`, and the body of the response.

        `extra_timeout_s`: time added to the timeout.
        """
        data = None if body is None else orjson.dumps(body)
        status, raw = self._call(method, path, data, self._timeout_s + extra_timeout_s)
        if status in (429, 503):
            raise UnavailableError(f"{method} {path}: {status}", refused=True)
        if status not in expected:
            # Of the statuses that the service's protocol does not list, only 4xx means that the request was
            # not executed; after any other the outcome is unknown.
            text = f"{method} {path}: {status} {raw[:200]!r}"
            raise UnavailableError(text, refused=True) if 400 <= status < 500 else OutcomeUnknownError(text)
        return status, raw

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        """All rows with the prefix, and the revision of the first page.

        Changes after that revision include every change made while later pages were read.
        """
        rows: list[Row] = []
        revision = -1
        since = ""
        while True:
            path = f"/store?prefix={quote(prefix)}&limit={PAGE_ROWS}"
            if since:
                path += f"&since={quote(since)}"
            page = _page_decoder.decode(self._request("GET", path)[1])
            if revision < 0:
                revision = page.revision
            rows += [Row(row.key, row.value, row.version) for row in page.rows]
            if not page.more or not page.rows:
                return rows, revision
            since = rows[-1].key

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        """Execute an atomic transaction."""
        body: dict[str, Any] = {
            "when": [{"path": key, "stamp": version} for key, version in conditions.items()]
        }
        if puts:
            body["then"] = [_encode_put(put) for put in puts]
        status, raw = self._call("POST", "/multi", orjson.dumps(body), self._timeout_s)
        if status == 200:
            return Outcome(_transaction_result_decoder.decode(raw).revision)
        if status == 409:
            result = _transaction_result_decoder.decode(raw)
            return Outcome(result.revision, tuple(result.failed) or ("?",))
        if status == 400 and b"no such lease" in raw:
            leases = sorted({put.lease for put in puts if put.lease is not None})
            raise LeaseGoneError(f"transaction: lease={leases}")
        if status == 400:
            raise TooLargeError(f"transaction: {status} {raw[:200]!r}")
        if status in (429, 503):
            raise UnavailableError(f"transaction: {status} {raw[:200]!r}", refused=True)
        raise OutcomeUnknownError(f"transaction: {status}")

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        """Changes after the revision `since`, and the revision up to which they are complete."""
        path = f"/changes?prefix={quote(prefix)}&since={since}&block_ms={int(wait_s * 1000)}"
        status, raw = self._request("GET", path, extra_timeout_s=wait_s, expected=(200, 410))
        if status == 410:
            raise CompactedError(f"changes compacted: prefix={prefix} since={since}")
        response = _changes_decoder.decode(raw)
        return [_decode_change(change) for change in response.changes], response.revision

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its number."""
        return _lease_decoder.decode(self._request("POST", "/leases", {"ttl_ms": int(ttl_s * 1000)})[1]).lease

    def renew_lease(self, lease: int) -> None:
        """Extend a lease."""
        status, _ = self._request("POST", f"/leases/{lease}/extend", {}, expected=(200, 204, 404))
        if status == 404:
            raise LeaseGoneError(f"lease={lease}")


def _encode_put(put: Put) -> dict[str, Any]:
    if put.value is None:
        return {"drop": put.key}
    if put.lease is None:
        return {"set": put.key, "v": put.value}
    return {"set": put.key, "v": put.value, "permit": put.lease}


def _decode_change(change: _Change) -> Row:
    if change.set_key is not None:
        return Row(change.set_key, change.value, change.version)
    if change.deleted_key is not None:
        return Row(change.deleted_key, None, change.version)
    raise ProtocolError(f"change without a key: version={change.version}")
