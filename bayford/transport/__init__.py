"""HTTP servers and clients: threads, blocking sockets, timeouts everywhere."""
