"""Trio tasks, each of which owns one socket or one piece of state."""
