"""Seeded open-loop load."""
