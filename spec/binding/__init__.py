"""Binding writes and retries."""
