"""Messages about routes, workspaces, members and rate shares between tasks."""
