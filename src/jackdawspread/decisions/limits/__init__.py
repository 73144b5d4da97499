"""Decisions on the limits of a process."""
