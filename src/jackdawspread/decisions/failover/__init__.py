"""Decisions about the failover of a failed or leaving primary."""
