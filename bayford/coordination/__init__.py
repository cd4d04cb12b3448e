"""One controller at work: who leads, what the leader decides, what users and workers are answered.

Subpackages: `leadership` (membership and the leadership record), `leader` (state and decisions of the
leader), `api` (requests of users) and `workers` (heartbeats of workers). `controller` wires them together.
"""
