"""The interface of the key-value store, and its errors.

`protocol.key_value_api` is the client for the wire; tests use an in-memory implementation.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from bayford.storage.errors import StorageError


class UnavailableError(StorageError):
    """The request was not executed: status 503 or 429, or no connection. Retrying is safe."""

    def __init__(self, message: str, refused: bool = False) -> None:
        """`refused`: the service itself refused the request, so it is reachable."""
        super().__init__(message)
        self.refused = refused


class TooLargeError(UnavailableError):
    """The request itself was refused, most likely for its size; an unchanged retry will be refused again."""

    def __init__(self, message: str) -> None:
        super().__init__(message, refused=True)


class OutcomeUnknownError(StorageError):
    """No response arrived: the request may have been executed, or may be executed later."""


class LeaseGoneError(StorageError):
    """The lease has expired; the caller needs a new one."""


class CompactedError(StorageError):
    """The requested revision is no longer available: the caller must scan the keys again."""


@dataclass(frozen=True, slots=True)
class Row:
    """A key's value; `version` is the revision that last wrote the key.

    `value` is None if that revision deleted the key. A key's version only increases, also across deletions.
    """

    key: str
    value: Any  # JSON
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """One change of a transaction: sets `key` to `value`, or deletes it if `value` is None.

    With `lease` the key is deleted when the lease expires. Without one the key is permanent, even if it had
    a lease before.
    """

    key: str
    value: Any  # JSON
    lease: int | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a transaction, all of whose changes are applied or none.

    Applied: `revision` is the new version of every changed key, and `failed` is empty. Not applied:
    `revision` is the store's current revision, and `failed` has the keys whose conditions did not hold.
    """

    revision: int
    failed: tuple[str, ...] = ()

    @property
    def applied(self) -> bool:
        """Whether the changes were applied."""
        return not self.failed


class KeyValueStore(Protocol):
    """The key-value store. Implementations are thread-safe.

    Every method raises UnavailableError if the request was not executed, and OutcomeUnknownError if it may
    have been.
    """

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        """Return the rows of all keys with the prefix, and a revision no newer than that of any page read."""

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        """Execute a transaction atomically; without puts it only checks the conditions.

        `conditions`: the version that each key must have, 0 for a key that must not exist. Raises
        LeaseGoneError if the lease of a put has expired, and TooLargeError if the transaction or one of its
        values is too large.
        """

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        """Return the changes after the revision `since`, and the revision up to which they are complete.

        Waits up to `wait_s` for the first change. Raises CompactedError if `since` is no longer available.
        """

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease that expires `ttl_s` after its last renewal, and return its id."""

    def renew_lease(self, lease: int) -> None:
        """Renew a lease for its full duration. Raises LeaseGoneError if it has expired."""
