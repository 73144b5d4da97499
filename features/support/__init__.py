"""Helpers of the step definitions."""
