"""Promotion of a primary."""
