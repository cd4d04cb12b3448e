"""Admission control under overload, without I/O: computes levels from the load and applies them to jobs."""
