"""bayford: a cluster scheduler for small sites."""

__version__ = "0.1.0"
