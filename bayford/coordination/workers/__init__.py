"""Answers workers' heartbeats on every controller, and relays heartbeats to the leader.

Owns the heartbeats that wait to be relayed, and the relay's keys in the key-value store.
"""
