"""Requests of the platform protocol, one type per file."""
