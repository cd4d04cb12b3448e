"""Unconditional writes that no other write depends on: relayed heartbeats and load summaries."""

import logging
from collections.abc import Sequence

from bayford.coordination.store_limits import StoreLimits
from bayford.storage.key_value_store import KeyValueStore, Put, TooLargeError

log = logging.getLogger(__name__)


def write_each(store: KeyValueStore, limits: StoreLimits, puts: Sequence[Put], max_puts: int = 1000) -> None:
    """Write the puts unconditionally, up to `max_puts` in one transaction.

    A put that the store refuses for its size must not prevent the others from being written: a refused
    transaction is retried in halves, and a single put that is refused is logged and skipped. Raises
    `UnavailableError` and `OutcomeUnknownError` like the store.
    """
    size = min(max_puts, limits.txn_ops)
    for start in range(0, len(puts), size):
        chunk = puts[start : start + size]
        try:
            store.compare_and_swap({}, list(chunk))
        except TooLargeError as error:
            if len(chunk) > 1:
                write_each(store, limits, chunk, len(chunk) // 2)
            else:
                log.error("value too large, not written: key=%s error=%s", chunk[0].key, error)
