"""Moments on the steady clock (`time.monotonic`)."""

NEVER = -1e18  # seconds: a moment before any that a running process can have seen
