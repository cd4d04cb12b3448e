"""Stand-ins for the systems around bayford, on loopback sockets, to the protocol that its users publish.

A state service, a cloud, workers, and the processes of real controllers, each with typed controls for
troubles. For tests; nothing here is part of the service.
"""
