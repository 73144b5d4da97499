"""Decisions of the owner of a database."""
