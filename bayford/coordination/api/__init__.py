"""The API for users: submissions, queries and cancellations of jobs, and admission control of submissions.

Every controller serves it, leader or not. The package writes job records and no other keys.
"""
