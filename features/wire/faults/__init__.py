"""Faults of random runs, one type each."""
