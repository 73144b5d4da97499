"""Starts, disturbs and ends the processes of a deployment."""
