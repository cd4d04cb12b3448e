"""The controller: selection of the leader, decisions of the leader, and requests of users and workers.

Subpackages: `leadership` (membership and the leadership record), `leader` (state and decisions of the
leader), `api` (requests of users) and `workers` (heartbeats of workers). `controller` connects them.
"""
