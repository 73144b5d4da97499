"""Decisions of the owner of a database.

The owner of a database is the instance that queues its requests, sends them to its
members and promotes a new primary if the primary fails. Each database has three
owners, ordered by rank: the first live one is active, the others are standby.
"""
