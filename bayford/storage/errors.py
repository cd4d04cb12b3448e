"""The base class of errors of the key-value store and of the values in it."""


class StorageError(Exception):
    """A request to the key-value store failed, or a stored value is unreadable."""
