"""HTTP servers and clients, based on threads and blocking sockets, with a timeout on every wait."""
