"""The response to a request of a user or a worker, before the transport adds headers."""

from typing import NamedTuple

RETRY_AFTER_S = 1  # Retry-After of a 503 whose `Reply` has no `retry_after_s`


class Reply(NamedTuple):
    """An HTTP status and a JSON body. `retry_after_s`: seconds until the client may retry, 0 if not set."""

    status: int
    body: bytes
    retry_after_s: int = 0
