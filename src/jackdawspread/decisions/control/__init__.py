"""Control decisions: view, authority, ownership, configuration and keys."""
