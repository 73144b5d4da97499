"""Tasks that own the configuration, the shares and the succession."""
