"""The root of what can go wrong with messages."""


class ProtocolError(Exception):
    """A message could not be understood, or the other side refused what it asks for."""
