"""What is stored in the state service, and how it is read: records, the task log, the watch cache of the
store.

Nothing here decides anything. Rows of the task log and final records are written by the leader alone
(`coordination.leader.group_commit`), a job's record by whichever controller accepts or cancels it.
"""
