"""Acknowledgement of commits while a promotion may take effect."""
