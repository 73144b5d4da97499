"""Decisions of the control side: view, authority, seats, configuration and keys."""
