"""A key-value store wrapper that counts the requests of one component of a controller.

All controllers share the request rates of the key-value store, so a component that sends too many requests
starves the others. The counts show which component sent requests and whose requests were refused.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from bayford.storage.key_value_store import KeyValueStore, Outcome, Put, Row, UnavailableError

T = TypeVar("T")


@dataclass(slots=True)
class RequestCounts:
    """The requests of one component to the key-value store since the start of the process."""

    requests: int = 0
    changes: int = 0  # puts and deletes
    refused: int = 0  # requests that were answered but not executed: status 429 or 503
    conflicts: int = 0  # transactions whose conditions failed


class CountingStore:
    """A `KeyValueStore` that forwards every call to another one and counts it. Thread-safe."""

    def __init__(self, store: KeyValueStore, component: str) -> None:
        """`component`: the name of the component that sends the requests, for the log."""
        self.component = component
        self._store = store
        self._lock = threading.Lock()  # guards the counts; never held during a request
        self._counts = RequestCounts()

    def counts(self) -> RequestCounts:
        """Return a copy of the current counts."""
        with self._lock:
            return replace(self._counts)

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        """See `KeyValueStore`."""
        return self._call_and_count(lambda: self._store.scan(prefix))

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        """See `KeyValueStore`."""
        outcome = self._call_and_count(lambda: self._store.compare_and_swap(conditions, puts), len(puts))
        if not outcome.applied:
            with self._lock:
                self._counts.conflicts += 1
        return outcome

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        """See `KeyValueStore`."""
        return self._call_and_count(lambda: self._store.watch(prefix, since, wait_s))

    def grant_lease(self, ttl_s: float) -> int:
        """See `KeyValueStore`."""
        return self._call_and_count(lambda: self._store.grant_lease(ttl_s))

    def renew_lease(self, lease: int) -> None:
        """See `KeyValueStore`."""
        self._call_and_count(lambda: self._store.renew_lease(lease))

    def _call_and_count(self, call: Callable[[], T], changes: int = 0) -> T:
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
