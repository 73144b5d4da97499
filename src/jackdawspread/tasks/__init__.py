"""Trio tasks, each the owner of one socket or one piece of state."""
