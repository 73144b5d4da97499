"""Knowledge of routes, workspaces and members, and messages about it."""
