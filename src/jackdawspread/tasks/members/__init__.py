"""Tasks that own member connections and track the state of members."""
