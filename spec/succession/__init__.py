"""Failover of a primary under a fencing token."""
