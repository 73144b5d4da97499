"""Binding writes and repeats."""
