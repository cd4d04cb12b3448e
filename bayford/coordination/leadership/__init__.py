"""Which controller leads: the membership lease, the leadership record, elections and transfers.

Owns the controller's lease and its copy of the leadership record. Only `membership` writes that record.
"""
