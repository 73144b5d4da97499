"""Decisions about the succession of a lost or leaving primary."""
