"""Measured experiments."""
