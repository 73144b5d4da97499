"""Withdrawal of a key."""
