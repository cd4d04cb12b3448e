"""Typed messages of every external interface: users, workers, controllers, the cloud, the state service.

Wire names are mapped here, by `msgspec.field(name=…)`; code outside this package does not use them.
"""
