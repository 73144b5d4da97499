"""Decisions about the acknowledgement of commits while a promotion may take effect."""
