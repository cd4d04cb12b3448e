"""What the layers above expect of the state service and how its failures look to them.

The codec for the wire is `protocol.key_value_api`; tests put an in-memory store here instead.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from bayford.storage.errors import StorageError


class UnavailableError(StorageError):
    """Not executed: 503, 429 or no connection. Asking again is harmless."""

    def __init__(self, text: str, refused: bool = False) -> None:
        """`refused`: the service itself said so, and is thus in reach."""
        super().__init__(text)
        self.refused = refused


class TooLargeError(UnavailableError):
    """Refused for what it is, its size most likely: sent again as it stands it will be refused again."""

    def __init__(self, text: str) -> None:
        super().__init__(text, refused=True)


class OutcomeUnknownError(StorageError):
    """No answer: the request may have been executed, or may still be."""


class LeaseGoneError(StorageError):
    """The lease has ended; a new one is needed."""


class CompactedError(StorageError):
    """The revision asked for is too old: read the keys again."""


@dataclass(frozen=True, slots=True)
class Row:
    """A key's value as of the revision `version`, in which it was written last.

    `value` None means that the key was deleted then. Versions of a key only grow, also over deletions.
    """

    key: str
    value: Any  # JSON
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """One change of a transaction: `key` is set to `value`, or deleted if that is None.

    With `lease` the key is deleted when the lease ends; without, it stays, also if it had a lease before.
    """

    key: str
    value: Any  # JSON
    lease: int | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """The answer to a transaction: all of it took place, or nothing.

    Applied: `revision` is the version of every key that it set, and `failed` is empty. Not applied:
    `revision` is the store's at that moment, and `failed` names the keys whose conditions did not hold.
    """

    revision: int
    failed: tuple[str, ...] = ()

    @property
    def applied(self) -> bool:
        """Whether the changes took place."""
        return not self.failed


class KeyValueStore(Protocol):
    """The state service. May be called from any thread.

    Every method raises UnavailableError for a request that was not executed, and OutcomeUnknownError for one
    that may have been.
    """

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        """All keys with the prefix, and a revision that is no newer than any of the pages read."""

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        """An atomic transaction; without puts it only compares.

        `conditions`: the version that each key must have, 0 for a key that must not exist. LeaseGoneError if
        a put names a lease that has ended, TooLargeError if the service does not take one of this size.
        """

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        """Changes after the revision `since`, waiting up to `wait_s` for the first, and the revision as of
        which they are complete. CompactedError if `since` is too old."""

    def grant_lease(self, ttl_s: float) -> int:
        """A new lease, which ends `ttl_s` after it was last renewed."""

    def renew_lease(self, lease: int) -> None:
        """Extend a lease by its full time, or raise LeaseGoneError."""
