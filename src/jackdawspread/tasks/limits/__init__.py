"""Limits that a process enforces on its connections."""
