"""What a request of a user or a worker is answered with, before the transport adds headers."""

from typing import NamedTuple

RETRY_AFTER_S = 1


class Reply(NamedTuple):
    """An HTTP status and a JSON body."""

    status: int
    body: bytes
