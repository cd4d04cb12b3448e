"""The answer to a request of a user or a worker, before the transport adds headers."""

from typing import NamedTuple

RETRY_AFTER_S = 1  # with a 503 whose `Reply` gives no time of its own


class Reply(NamedTuple):
    """An HTTP status and a JSON body. `retry_after_s`: when to try again, in seconds, 0 if not stated."""

    status: int
    body: bytes
    retry_after_s: int = 0
