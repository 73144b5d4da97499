"""Structured logs with a bounded volume."""
