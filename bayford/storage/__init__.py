"""Data in the key-value store and access to it: job records, the task log and the watch cache.

This package makes no scheduling decisions. Only the leader writes rows of the task log and the records of
finished jobs (`coordination.leader.group_commit`); the controller that accepts or cancels a job writes the
record of that job.
"""
