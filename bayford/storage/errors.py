"""The root of what can go wrong with the store and with the values in it."""


class StorageError(Exception):
    """The state service did not do what it was asked to, or a stored value cannot be read."""
