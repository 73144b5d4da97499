"""Decisions about shares of the workspaces' rates.

A share is the fraction of a workspace's rate that one instance may use. All shares are
kept in one record of the store.
"""
