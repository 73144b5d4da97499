"""Stand-ins of the users' platform, for features without their bench."""
