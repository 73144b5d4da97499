"""Stand-ins for the platform and for a database member."""
