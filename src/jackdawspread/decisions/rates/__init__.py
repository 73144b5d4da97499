"""Decisions about rates and bursts."""
