"""Scheduling decisions as pure code: no I/O, no clock, no global random state."""
