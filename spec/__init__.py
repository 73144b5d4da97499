"""Small specification of the core protocol."""
