"""Tasks of an instance on the users' platform: admission, shares, loans, failover."""
