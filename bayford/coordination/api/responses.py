"""What a request of a user or a worker is answered with, before the transport adds headers."""

from typing import NamedTuple

RETRY_AFTER_S = 1


class Reply(NamedTuple):
    """An HTTP status and a JSON body. `retry_after_s`: when to come back, 0 where that is not said."""

    status: int
    body: bytes
    retry_after_s: int = 0
