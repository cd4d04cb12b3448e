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

# method, path, body, seconds to wait -> status, body. Raises UnavailableError or OutcomeUnknownError, as
# `KeyValueStore` says.
Caller = Callable[[str, str, bytes | None, float], tuple[int, bytes]]

PAGE_ROWS = 400  # asked for in one response; the service puts at most 1,000 and 512 KiB into one


class _ListedRow(msgspec.Struct):
    key: str = msgspec.field(name="path")
    value: Any = msgspec.field(name="v")
    version: int = msgspec.field(name="stamp")


class _Page(msgspec.Struct):
    rows: list[_ListedRow]
    revision: int = msgspec.field(name="epoch")
    more: bool = False


class _Change(msgspec.Struct):
    """A key that was set, or one that was deleted."""

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


_page = msgspec.json.Decoder(_Page)
_changes = msgspec.json.Decoder(_Changes)
_transaction_result = msgspec.json.Decoder(_TransactionResult)
_lease = msgspec.json.Decoder(_Lease)


class KeyValueApi:
    """One typed call per request; `call` carries it, `timeout_s` bounds it. Errors as `KeyValueStore`
    says."""

    def __init__(self, call: Caller, timeout_s: float = 2.0) -> None:
        self._call = call
        self._timeout_s = timeout_s

    def _ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        extra_s: float = 0.0,
        expected: tuple[int, ...] = (200,),
    ) -> tuple[int, bytes]:
        """The status, which is one of those expected, and the body of the response."""
        data = None if body is None else orjson.dumps(body)
        status, raw = self._call(method, path, data, self._timeout_s + extra_s)
        if status in (429, 503):
            raise UnavailableError(f"{method} {path}: {status}", refused=True)
        if status not in expected:
            # Any status that PROTOCOL does not list is taken as not executed only if it says so: 4xx.
            text = f"{method} {path}: {status} {raw[:200]!r}"
            raise UnavailableError(text, refused=True) if 400 <= status < 500 else OutcomeUnknownError(text)
        return status, raw

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        """All rows; the revision of the first page, so that changes since then cover the later ones."""
        rows: list[Row] = []
        revision = -1
        since = ""
        while True:
            path = f"/store?prefix={quote(prefix)}&limit={PAGE_ROWS}"
            if since:
                path += f"&since={quote(since)}"
            page = _page.decode(self._ask("GET", path)[1])
            if revision < 0:
                revision = page.revision
            rows += [Row(row.key, row.value, row.version) for row in page.rows]
            if not page.more or not page.rows:
                return rows, revision
            since = rows[-1].key

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        """An atomic transaction."""
        body: dict[str, Any] = {
            "when": [{"path": key, "stamp": version} for key, version in conditions.items()]
        }
        if puts:
            body["then"] = [_encode_put(put) for put in puts]
        status, raw = self._call("POST", "/multi", orjson.dumps(body), self._timeout_s)
        if status == 200:
            return Outcome(_transaction_result.decode(raw).revision)
        if status == 409:
            result = _transaction_result.decode(raw)
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
        """Changes after the revision `since`, and the revision as of which they are complete."""
        path = f"/changes?prefix={quote(prefix)}&since={since}&block_ms={int(wait_s * 1000)}"
        status, raw = self._ask("GET", path, extra_s=wait_s, expected=(200, 410))
        if status == 410:
            raise CompactedError(f"changes of {prefix} since revision {since} are not kept any more")
        response = _changes.decode(raw)
        return [_row(change) for change in response.changes], response.revision

    def grant_lease(self, ttl_s: float) -> int:
        """A new lease."""
        return _lease.decode(self._ask("POST", "/leases", {"ttl_ms": int(ttl_s * 1000)})[1]).lease

    def renew_lease(self, lease: int) -> None:
        """Extend a lease."""
        status, _ = self._ask("POST", f"/leases/{lease}/extend", {}, expected=(200, 204, 404))
        if status == 404:
            raise LeaseGoneError(f"lease={lease}")


def _encode_put(put: Put) -> dict[str, Any]:
    if put.value is None:
        return {"drop": put.key}
    if put.lease is None:
        return {"set": put.key, "v": put.value}
    return {"set": put.key, "v": put.value, "permit": put.lease}


def _row(change: _Change) -> Row:
    if change.set_key is not None:
        return Row(change.set_key, change.value, change.version)
    if change.deleted_key is not None:
        return Row(change.deleted_key, None, change.version)
    raise ProtocolError(f"a change of version {change.version} names no key")
