"""Decisions about leases of the workspaces' rates.

Every rate is divided into a fixed number of equal parts. The instance that holds the
lease of a part admits operations from it, its own and those of the other instances.
"""
