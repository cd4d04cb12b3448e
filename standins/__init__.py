"""Stand-ins for the external services of bayford, on loopback sockets, for tests and trials.

A state service, a cloud and workers with fault injection, users, and processes of real controllers, which can
be killed and restarted. The service itself imports nothing from here.
"""
