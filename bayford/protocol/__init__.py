"""Typed messages of every outside interface: users, workers, controllers, the cloud, the state service.

Wire names are mapped here, by `msgspec.field(name=…)`, and nothing behind this package reads one.
"""
