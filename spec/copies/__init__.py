"""Copies of the configuration between instances."""
