"""The state service as one component of a controller uses it: that component's requests are counted.

All controllers share the service's rates, and a component that asks for too much starves the others. The
counts tell which one asked and which was refused.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from bayford.storage.key_value_store import KeyValueStore, Outcome, Put, Row, UnavailableError

T = TypeVar("T")


@dataclass(slots=True)
class RequestCounts:
    """What one component has asked of the state service since its start."""

    requests: int = 0
    changes: int = 0  # puts and deletes
    refused: int = 0  # requests that the service answered but did not execute: 429 or 503
    conflicts: int = 0  # transactions whose conditions failed


class CountingStore:
    """A `KeyValueStore` that passes every call on and counts it. May be called from any thread."""

    def __init__(self, store: KeyValueStore, component: str) -> None:
        """`component`: whose requests these are, for the log."""
        self.component = component
        self._store = store
        self._lock = threading.Lock()  # guards the counts; never held during a request
        self._counts = RequestCounts()

    def counts(self) -> RequestCounts:
        """A copy of the counts as of now."""
        with self._lock:
            return replace(self._counts)

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        """See `KeyValueStore`."""
        return self._counted(lambda: self._store.scan(prefix))

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        """See `KeyValueStore`."""
        outcome = self._counted(lambda: self._store.compare_and_swap(conditions, puts), len(puts))
        if not outcome.applied:
            with self._lock:
                self._counts.conflicts += 1
        return outcome

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        """See `KeyValueStore`."""
        return self._counted(lambda: self._store.watch(prefix, since, wait_s))

    def grant_lease(self, ttl_s: float) -> int:
        """See `KeyValueStore`."""
        return self._counted(lambda: self._store.grant_lease(ttl_s))

    def renew_lease(self, lease: int) -> None:
        """See `KeyValueStore`."""
        self._counted(lambda: self._store.renew_lease(lease))

    def _counted(self, call: Callable[[], T], changes: int = 0) -> T:
        with self._lock:
            self._counts.requests += 1
            self._counts.changes += changes
        try:
            return call()
        except UnavailableError as error:
            if error.refused:
                with self._lock:
                    self._counts.refused += 1
            raise
