"""A clock that only the test moves."""

from __future__ import annotations


class Clock:
    """Steady time and time of day, in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + 1.7e9
