"""Unconditional writes that no other write depends on: relayed heartbeats and load summaries."""

import logging
from collections.abc import Iterator, Sequence

from bayford.coordination.store_limits import StoreLimits
from bayford.protocol.message_sizes import MAX_MESSAGE_BYTES
from bayford.storage import records
from bayford.storage.key_value_store import KeyValueStore, Put, TooLargeError

log = logging.getLogger(__name__)

PUT_OVERHEAD_BYTES = 64  # of a transaction around each key and value, and a share of its frame


def write_each(store: KeyValueStore, limits: StoreLimits, puts: Sequence[Put], max_puts: int = 1000) -> None:
    """Write the puts unconditionally, up to `max_puts` in one transaction, within its limit in bytes.

    A put that the store refuses for its size must not prevent the others from being written: a refused
    transaction is retried in halves, and a single put that is refused is logged and skipped. Raises
    `UnavailableError` and `OutcomeUnknownError` like the store.
    """
    for chunk in _split_into_transactions(puts, min(max_puts, limits.txn_ops)):
        try:
            store.compare_and_swap({}, chunk)
        except TooLargeError as error:
            if len(chunk) > 1:
                write_each(store, limits, chunk, len(chunk) // 2)
            else:
                log.error("value too large, not written: key=%s error=%s", chunk[0].key, error)


def _split_into_transactions(puts: Sequence[Put], max_puts: int) -> Iterator[list[Put]]:
    """Yields the puts in order, in lists that each fit into one request, unless a single put does not."""
    chunk: list[Put] = []
    bytes_left = MAX_MESSAGE_BYTES
    for put in puts:
        size = PUT_OVERHEAD_BYTES + len(put.key) + records.encoded_size(put.value)
        if chunk and (len(chunk) == max_puts or size > bytes_left):
            yield chunk
            chunk, bytes_left = [], MAX_MESSAGE_BYTES
        chunk.append(put)
        bytes_left -= size
    if chunk:
        yield chunk
