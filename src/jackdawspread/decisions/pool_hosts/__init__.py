"""Decisions about pool hosts.

A pool host is an instance that keeps the member connections of some workspaces for the
whole fleet. The other instances use them through it.
"""
