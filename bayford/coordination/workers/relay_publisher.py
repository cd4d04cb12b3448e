"""Writes the heartbeats that this controller relays to the key-value store, for the leader."""

from collections.abc import Callable

from bayford.coordination.store_limits import StoreLimits
from bayford.coordination.store_writer import write_each
from bayford.coordination.token_bucket import TokenBucket
from bayford.coordination.workers.relay import Relay
from bayford.storage.key_value_store import KeyValueStore, OutcomeUnknownError, Put, UnavailableError

RATE_SHARE = 0.5  # of the changes a second: what a relay may take of them,
BURST_SHARE = 0.9  # and at once, of those of one second


class RelayPublisher:
    """Run by the membership thread. A relay of thousands of machines has more to pass on than the state
    service takes in a second, so it has a rate of its own."""

    def __init__(
        self, relay: Relay, store: KeyValueStore, limits: StoreLimits, clock: Callable[[], float]
    ) -> None:
        self._relay = relay
        self._store = store
        self._limits = limits
        self._writes = TokenBucket(limits.write_rps * RATE_SHARE, limits.write_rps * BURST_SHARE, clock)
        self._pending: list[Put] = []

    def publish(self) -> None:
        """Write as much as the rate allows now."""
        if not self._pending:
            self._pending = self._relay.publish()
        try:
            while self._pending and self._writes.available() >= 1.0:
                count = min(len(self._pending), self._limits.txn_ops, int(self._writes.available()))
                chunk, self._pending = self._pending[:count], self._pending[count:]
                self._writes.take(count)
                write_each(self._store, self._limits, chunk)
        except (UnavailableError, OutcomeUnknownError):
            self._pending = []
            self._relay.not_published()
            raise
