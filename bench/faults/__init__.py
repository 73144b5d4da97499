"""Faults that a run applies to its deployment."""
