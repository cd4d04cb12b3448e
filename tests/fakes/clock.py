"""A clock that only the test advances."""

from __future__ import annotations


class Clock:
    """Monotonic time when called, and wall-clock time, both in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + 1.7e9
