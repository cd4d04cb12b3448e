"""The leader's decisions and the state on which they are based.

`leader_state` holds the jobs, machines and team quotas of one leadership term, guarded by one lock. The other
modules read and change this state; code outside this package does not modify it.
"""
