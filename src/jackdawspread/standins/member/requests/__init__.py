"""Requests of the member protocol, one type per file."""
