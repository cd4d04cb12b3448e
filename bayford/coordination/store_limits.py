"""Limits on the sizes and rates that the state service accepts.

The service may switch from its current limits to those announced in the settings at any time, without notice.
Of each pair the lower limit is therefore obeyed from the start: a value or a transaction that fits it is
accepted before and after the switch (docs/measurements.md has the cost of that). If the service still refuses
a transaction for its size, the limits here are lowered further, because a batch that is retried unchanged
would never be written.
"""

import logging

from bayford.config import StateServiceLimits

log = logging.getLogger(__name__)

MIN_VALUE_BYTES = 384  # a row of the task log with one task
MIN_TXN_OPS = 2  # a row and the record of a completed job


class StoreLimits:
    """Sizes are in bytes, rates per second. Many threads read the values, each independently of the others;
    the thread whose request was refused lowers them."""

    def __init__(self, state: StateServiceLimits) -> None:
        announced = state.next
        self.layout_bytes = int(state.value_kb * 1024)  # value size that the task log is laid out for
        self.value_bytes = self.layout_bytes
        self.txn_ops = state.txn_ops
        self.write_rps = state.write_rps
        self.rps = state.rps
        if announced is not None:
            self.value_bytes = min(self.value_bytes, int((announced.value_kb or state.value_kb) * 1024))
            self.txn_ops = min(self.txn_ops, announced.txn_ops or state.txn_ops)
            self.write_rps = min(self.write_rps, announced.write_rps or state.write_rps)
            self.rps = min(self.rps, announced.rps or state.rps)

    def lower_limits(self, changes: int, longest_bytes: int) -> None:
        """Lower the limits after a transaction was refused for its size. It had `changes` changes, and its
        longest value had `longest_bytes` bytes.

        The response does not say which of the two exceeds the limit, so the number of changes is lowered
        first, then the size of a value.
        """
        if changes > MIN_TXN_OPS and self.txn_ops > MIN_TXN_OPS:
            self.txn_ops = max(MIN_TXN_OPS, min(self.txn_ops, changes) // 2)
        else:
            self.value_bytes = max(MIN_VALUE_BYTES, min(self.value_bytes, longest_bytes) * 3 // 4)
        log.error(
            "transaction too large: changes=%d longest_bytes=%d; limits lowered: txn_ops=%d value_bytes=%d",
            changes,
            longest_bytes,
            self.txn_ops,
            self.value_bytes,
        )
