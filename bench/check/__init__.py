"""Compares what callers were told with what the databases hold."""
