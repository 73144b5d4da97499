"""Slopes from which docs/CAPACITY.md is worked out."""
