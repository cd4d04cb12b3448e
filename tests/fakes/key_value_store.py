"""An in-memory key-value store: versions, leases, transactions, watch, and injected faults."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from typing import Any

import orjson

from bayford.storage.key_value_store import (
    LeaseGoneError,
    Outcome,
    OutcomeUnknownError,
    Put,
    Row,
    TooLargeError,
    UnavailableError,
)
from fakes.clock import Clock

MAX_TRANSACTION_BYTES = 64 * 1024


class FakeKeyValueStore:
    """The data of the key-value store, and the faults that a test injects."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.rows: dict[str, tuple[Any, int, int | None]] = {}  # key -> (value, version, lease)
        self.leases: dict[int, tuple[float, float]] = {}  # lease id -> (expiry, TTL in s)
        self.revision = 10
        self.changes: list[Row] = []
        self.down = False
        self.unavailable_to: set[str] = set()  # controllers whose requests get 503
        # Controllers whose next transaction is executed but its response is lost.
        self.loses_next_response_to: set[str] = set()
        # Controllers whose next transaction gets no response and is kept for `execute_delayed_writes`.
        self.delays_next_write_of: set[str] = set()
        self.delayed_writes: list[tuple[dict[str, int], list[Put]]] = []
        self.unreachable_from: set[str] = set()  # controllers without a connection
        # Controllers whose transactions are executed but every response is lost.
        self.loses_responses_to: set[str] = set()
        # controller -> delay: its transactions get no response and are executed after the delay.
        self.write_delay_s: dict[str, float] = {}
        self.late_writes: list[tuple[float, dict[str, int], list[Put]]] = []  # (due time, conditions, puts)
        self.late_write_count = 0  # number of `late_writes` that were applied
        # Controllers whose reads get no response; their transactions are still executed.
        self.reads_unanswered_for: set[str] = set()
        self.written_sizes: list[int] = []
        self.value_bytes = 1 << 20  # limits in force: size of a value, operations per transaction
        self.txn_ops = 1 << 20
        self.too_large_count = 0  # transactions refused because of their size
        # If set, changes beyond this rate get 429. A burst may contain one second's changes.
        self.write_rps: float | None = None
        self.available_writes = 0.0
        self.writes_refilled_at = 0.0
        self.rate_limited_count = 0  # transactions refused because of the rate
        # Called with the conditions and writes of each transaction that a controller sends.
        self.on_write: Callable[[dict[str, int], list[Put]], None] | None = None

    def process_due(self) -> None:
        """Execute delayed writes that are due and delete the rows of expired leases."""
        due = [entry for entry in self.late_writes if entry[0] <= self.clock.now and not self.down]
        self.late_writes = [entry for entry in self.late_writes if entry not in due]
        for _, conditions, puts in due:
            try:
                self.late_write_count += self.execute(conditions, puts).applied
            except LeaseGoneError:
                pass
        for lease, (until, _) in list(self.leases.items()):
            if until <= self.clock.now and not self.down:
                del self.leases[lease]
                keys = [k for k, row in self.rows.items() if row[2] == lease]
                if keys:
                    self._change([Put(k, None) for k in keys])

    def _change(self, puts: list[Put]) -> int:
        self.revision += 1
        for put in puts:
            if put.value is None:
                if self.rows.pop(put.key, None) is not None:
                    self.changes.append(Row(put.key, None, self.revision))
            else:
                value = orjson.loads(orjson.dumps(put.value))
                self.written_sizes.append(len(orjson.dumps(value)))
                self.rows[put.key] = (value, self.revision, put.lease)
                self.changes.append(Row(put.key, value, self.revision))
        return self.revision

    def execute(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        self.process_due()
        for put in puts:
            if put.lease is not None and put.lease not in self.leases:
                raise LeaseGoneError
        failed = [k for k, s in conditions.items() if self.rows.get(k, (None, 0, None))[1] != s]
        if failed:
            return Outcome(self.revision, tuple(failed))
        return Outcome(self._change(puts) if puts else self.revision)

    def take_write_tokens(self, changes: int) -> bool:
        """Take a token of `write_rps` for each change; returns whether there were enough, else takes none."""
        if self.write_rps is None:
            return True
        elapsed = self.clock.now - self.writes_refilled_at
        self.available_writes = min(self.write_rps, self.available_writes + elapsed * self.write_rps)
        self.writes_refilled_at = self.clock.now
        if self.available_writes < changes:
            self.rate_limited_count += 1
            return False
        self.available_writes -= changes
        return True

    def execute_delayed_writes(self) -> list[Outcome]:
        """Execute the transactions held back by `delays_next_write_of`; returns their outcomes."""
        delayed, self.delayed_writes = self.delayed_writes, []
        outcomes = []
        for conditions, puts in delayed:
            try:
                outcomes.append(self.execute(conditions, puts))
            except LeaseGoneError:
                pass
        return outcomes


class StoreConnection:
    """A controller's connection to the key-value store."""

    def __init__(self, store: FakeKeyValueStore, controller: str) -> None:
        self.store = store
        self.controller = controller

    def _raise_if_unavailable(self) -> None:
        if self.controller in self.store.unreachable_from:
            raise UnavailableError("no connection")
        if self.store.down or self.controller in self.store.unavailable_to:
            raise UnavailableError("503", refused=True)
        self.store.process_due()

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        self._raise_if_unavailable()
        if self.controller in self.store.reads_unanswered_for:
            raise OutcomeUnknownError("no answer")
        rows = [Row(k, v, s) for k, (v, s, _) in sorted(self.store.rows.items()) if k.startswith(prefix)]
        return rows, self.store.revision

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        self._raise_if_unavailable()
        sizes = [0 if put.value is None else len(orjson.dumps(put.value)) for put in puts]
        if (
            len(puts) > self.store.txn_ops
            or any(size > self.store.value_bytes for size in sizes)
            or sum(sizes) + sum(len(put.key) for put in puts) > MAX_TRANSACTION_BYTES
        ):
            self.store.too_large_count += 1
            raise TooLargeError("400")
        if not self.store.take_write_tokens(len(puts)):
            raise UnavailableError("429", refused=True)
        if puts and self.controller in self.store.delays_next_write_of:
            self.store.delays_next_write_of.discard(self.controller)
            self.store.delayed_writes.append((dict(conditions), list(puts)))
            raise OutcomeUnknownError("no answer")
        if puts and self.controller in self.store.write_delay_s:
            at = self.store.clock.now + self.store.write_delay_s[self.controller]
            self.store.late_writes.append((at, dict(conditions), list(puts)))
            raise OutcomeUnknownError("no answer")
        if puts and self.store.on_write is not None:
            self.store.on_write(dict(conditions), list(puts))
        outcome = self.store.execute(conditions, puts)
        if puts and self.controller in self.store.loses_next_response_to | self.store.loses_responses_to:
            self.store.loses_next_response_to.discard(self.controller)
            raise OutcomeUnknownError("response lost")
        return outcome

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        self._raise_if_unavailable()
        if self.controller in self.store.reads_unanswered_for:
            raise OutcomeUnknownError("no answer")
        first = bisect.bisect_right(self.store.changes, since, key=lambda row: row.version)
        changes = [row for row in self.store.changes[first:] if row.key.startswith(prefix)]
        return changes, self.store.revision

    def grant_lease(self, ttl_s: float) -> int:
        self._raise_if_unavailable()
        lease = len(self.store.leases) + self.store.revision * 1000
        self.store.leases[lease] = (self.store.clock.now + ttl_s, ttl_s)
        return lease

    def renew_lease(self, lease: int) -> None:
        self._raise_if_unavailable()
        if lease not in self.store.leases:
            raise LeaseGoneError
        ttl = self.store.leases[lease][1]
        self.store.leases[lease] = (self.store.clock.now + ttl, ttl)
