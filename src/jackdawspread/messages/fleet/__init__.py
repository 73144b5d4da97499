"""Messages between the tasks of an instance on the users' platform."""
