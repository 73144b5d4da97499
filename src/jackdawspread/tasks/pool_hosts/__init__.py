"""Tasks that share member connections between instances."""
