"""Statements of callers' sessions, and answers of members."""
