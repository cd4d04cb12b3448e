"""The base class of errors in the exchange of messages."""


class ProtocolError(Exception):
    """A message could not be decoded, or its receiver refused the request in it."""
