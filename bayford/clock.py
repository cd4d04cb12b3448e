"""Moments on the steady clock."""

NEVER = -1e18  # seconds: a moment before any that a running process can have seen
