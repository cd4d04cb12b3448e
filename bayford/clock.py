"""Moments of the steady clock (`time.monotonic`), and the time of day as text."""

import time

NEVER = -1e18  # seconds: a moment before any that a running process can have seen


def format_wall_time(wall: float) -> str:
    """A time of day, in seconds since 1970, as operators read it."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(wall)) + " UTC"
