"""Helpers for times of the monotonic clock (`time.monotonic`) and for wall-clock times."""

import time

NEVER = -1e18  # seconds; earlier than any time of the monotonic clock


def format_wall_time(wall: float) -> str:
    """Format a wall-clock time, in seconds since 1970, for operators."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(wall)) + " UTC"
