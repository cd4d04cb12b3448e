"""What the state service takes: the smaller of its limits now and those to come, and what it taught us.

The limits fall at some moment without notice, and nobody tells when. A value or a transaction that fits both
is right on either side of that moment, so the smaller ones are obeyed from the start (docs/measurements.md
has what that costs). Should the service refuse even that for its size, we go lower by ourselves: the same
batch tried for ever would be a standstill.
"""

import logging

from bayford.config import State

log = logging.getLogger("bayford.limits")

LEAST_VALUE = 384  # a row that tells of one task
LEAST_OPS = 2  # a row and the record of a job that is done


class StoreLimits:
    """Sizes and rates to keep to. Read by many threads, each value by itself; lowered by whoever is
    refused."""

    def __init__(self, state: State) -> None:
        coming = state.next
        self.layout_bytes = int(state.value_kb * 1024)  # what the task log's blocks were laid out for
        self.value_bytes = self.layout_bytes
        self.txn_ops = state.txn_ops
        self.write_rps = state.write_rps
        self.rps = state.rps
        if coming is not None:
            self.value_bytes = min(self.value_bytes, int((coming.value_kb or state.value_kb) * 1024))
            self.txn_ops = min(self.txn_ops, coming.txn_ops or state.txn_ops)
            self.write_rps = min(self.write_rps, coming.write_rps or state.write_rps)
            self.rps = min(self.rps, coming.rps or state.rps)

    def too_large(self, changes: int, longest: int) -> None:
        """A transaction of so many changes, the longest value of so many bytes, was refused for its size.

        The answer doesn't say which of the two it was: fewer changes first, then shorter values.
        """
        if changes > LEAST_OPS and self.txn_ops > LEAST_OPS:
            self.txn_ops = max(LEAST_OPS, min(self.txn_ops, changes) // 2)
        else:
            self.value_bytes = max(LEAST_VALUE, min(self.value_bytes, longest) * 3 // 4)
        log.error(
            "the state service refused %d changes, %d bytes the longest: from now on %d changes, %d bytes",
            changes,
            longest,
            self.txn_ops,
            self.value_bytes,
        )
