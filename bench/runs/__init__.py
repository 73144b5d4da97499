"""Complete runs: deployment, load, faults, checks."""
