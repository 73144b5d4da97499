"""Stand-ins for the users' platform, for features that don't run its test bench."""
