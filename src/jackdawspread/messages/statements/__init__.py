"""Statements of callers' sessions, and what members answer."""
