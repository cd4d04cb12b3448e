"""The answers to users: submissions, queries and cancellations, and which submissions are admitted.

Every controller serves these, whether it leads or not. The package writes job records and no other key.
"""
