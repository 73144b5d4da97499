"""Session tokens over a change of primary."""
