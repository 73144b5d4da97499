"""Decisions about members, their log positions and their connections.

A member is a database server; the members of a group replicate one log.
"""
