"""Selection of the leader: membership lease, leadership record, failover and leadership transfer.

Owns the controller's lease and its copy of the leadership record. Only `membership` writes the record.
"""
