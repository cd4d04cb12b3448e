"""Decisions without I/O, clock or global randomness."""
