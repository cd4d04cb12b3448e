"""Spreads load over machines, without I/O: chooses machines for tasks and plans migrations."""
