"""Writes the heartbeats that this controller relays for the leader to the key-value store."""

from collections.abc import Callable

from bayford.coordination.store_limits import StoreLimits
from bayford.coordination.store_writer import write_each
from bayford.coordination.token_bucket import TokenBucket
from bayford.coordination.workers.relay import Relay
from bayford.storage.key_value_store import KeyValueStore, OutcomeUnknownError, Put, UnavailableError

RATE_SHARE = 0.5  # share of the store's writes per second that a relay may use
BURST_SHARE = 0.9  # maximum burst of a relay, as a share of the store's writes in one second


class RelayPublisher:
    """Publishes relayed heartbeats at a limited rate. Called only by the membership thread.

    A relay of thousands of machines has more rows to write than the store accepts in a second.
    """

    def __init__(
        self, relay: Relay, store: KeyValueStore, limits: StoreLimits, clock: Callable[[], float]
    ) -> None:
        self._relay = relay
        self._store = store
        self._limits = limits
        self._writes = TokenBucket(limits.write_rps * RATE_SHARE, limits.write_rps * BURST_SHARE, clock)
        self._pending: list[Put] = []

    def publish(self) -> None:
        """Write as many of the pending rows as the rate allows now.

        UnavailableError, OutcomeUnknownError: a write failed; the pending rows are dropped and published
        anew.
        """
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
            self._relay.on_publish_failed()
            raise
