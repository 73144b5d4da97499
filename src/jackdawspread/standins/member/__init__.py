"""Stand-in of a database member."""
