"""Tasks that own callers' sessions."""
