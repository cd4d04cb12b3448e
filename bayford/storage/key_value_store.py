"""What the layers above expect of the state service and how its failures look to them.

The codec for the wire is `protocol.state_api`; tests put an in-memory store here instead.
"""

from dataclasses import dataclass
from typing import Any, Protocol


class UnavailableError(Exception):
    """Not executed: 503, 429 or no connection. Asking again is harmless."""

    def __init__(self, text: str, refused: bool = False) -> None:
        """`refused`: the service itself said so, and is thus in reach."""
        super().__init__(text)
        self.refused = refused


class TooLargeError(UnavailableError):
    """Refused for what it is, its size most likely: sent again as it stands it will be refused again."""

    def __init__(self, text: str) -> None:
        super().__init__(text, refused=True)


class OutcomeUnknownError(Exception):
    """No answer: the request may have been executed, or may still be."""


class LeaseGoneError(Exception):
    """The lease has ended; a new one is needed."""


class CompactedError(Exception):
    """The revision asked for is too old: read the keys again."""


@dataclass(frozen=True, slots=True)
class Row:
    """A key's value at a revision; `value` None means that the key was deleted then."""

    key: str
    value: Any
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """One change of a transaction; `value` None deletes."""

    key: str
    value: Any
    lease: int | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """A transaction's answer: applied at `revision`, or the keys whose conditions failed."""

    revision: int
    failed: tuple[str, ...] = ()

    @property
    def applied(self) -> bool:
        """Whether the changes took place."""
        return not self.failed


class KeyValueStore(Protocol):
    """The state service."""

    def scan(self, prefix: str) -> tuple[list[Row], int]:
        """All keys with the prefix, and a revision that is no newer than any of the pages read."""

    def compare_and_swap(self, conditions: dict[str, int], puts: list[Put]) -> Outcome:
        """An atomic transaction; without puts it only compares."""

    def watch(self, prefix: str, since: int, wait_s: float) -> tuple[list[Row], int]:
        """Changes after `since`, waiting up to `wait_s` for the first."""

    def grant_lease(self, ttl_s: float) -> int:
        """A new lease."""

    def renew_lease(self, lease: int) -> None:
        """Extend a lease by its full time, or raise LeaseGoneError."""
