"""Evacuation of failure domains on an operator's request."""
