"""Structured logging with a bounded volume, and selection of log lines."""
