"""Sizes and rates that the state service accepts.

The limits may fall at some moment, without notice. A value or a transaction that fits the limits of now and
those to come is right on either side of that moment, so the smaller ones are obeyed from the start
(docs/measurements.md has what that costs). If the service refuses even that for its size, the limits here are
lowered further: a batch that is retried unchanged would never be written.
"""

import logging

from bayford.config import State

log = logging.getLogger(__name__)

MIN_VALUE_BYTES = 384  # a row of the task log with one task
MIN_TXN_OPS = 2  # a row and the record of a job that is done


class StoreLimits:
    """Sizes in bytes, rates a second. Read by many threads, each value by itself; lowered by the thread whose
    request was refused."""

    def __init__(self, state: State) -> None:
        upcoming = state.next
        self.layout_bytes = int(state.value_kb * 1024)  # what the task log's blocks were laid out for
        self.value_bytes = self.layout_bytes
        self.txn_ops = state.txn_ops
        self.write_rps = state.write_rps
        self.rps = state.rps
        if upcoming is not None:
            self.value_bytes = min(self.value_bytes, int((upcoming.value_kb or state.value_kb) * 1024))
            self.txn_ops = min(self.txn_ops, upcoming.txn_ops or state.txn_ops)
            self.write_rps = min(self.write_rps, upcoming.write_rps or state.write_rps)
            self.rps = min(self.rps, upcoming.rps or state.rps)

    def too_large(self, changes: int, longest: int) -> None:
        """A transaction of `changes` changes, its longest value of `longest` bytes, was refused for its size.

        The response doesn't say which of the two is too much: fewer changes first, then shorter values.
        """
        if changes > MIN_TXN_OPS and self.txn_ops > MIN_TXN_OPS:
            self.txn_ops = max(MIN_TXN_OPS, min(self.txn_ops, changes) // 2)
        else:
            self.value_bytes = max(MIN_VALUE_BYTES, min(self.value_bytes, longest) * 3 // 4)
        log.error(
            "transaction too large: changes=%d longest_bytes=%d; limits lowered: txn_ops=%d value_bytes=%d",
            changes,
            longest,
            self.txn_ops,
            self.value_bytes,
        )
