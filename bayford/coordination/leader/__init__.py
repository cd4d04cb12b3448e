"""What the leader decides, and the state that it decides on.

`leader_state` owns jobs, machines and team quotas for one leadership term, behind one lock. The other modules
are parts that read and change that state; nothing outside this package writes it.
"""
