"""Tasks that own member connections and the beliefs about members."""
