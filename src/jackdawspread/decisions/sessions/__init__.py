"""Decisions about callers' sessions."""
