"""What workers are answered by a controller that does not lead: the relay to the leader.

Owns the heartbeats that wait to be passed on, and the relay's keys in the key-value store.
"""
