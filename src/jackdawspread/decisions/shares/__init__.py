"""Decisions about shares of the workspaces' rates."""
