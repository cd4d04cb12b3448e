"""Stand-ins for the systems around bayford, on loopback sockets, by the protocol of their services.

A state service, a cloud, workers, and the processes of real controllers, each with typed controls for
faults. For tests and trials; nothing here is part of the service.
"""
