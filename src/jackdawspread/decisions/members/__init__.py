"""Decisions about members, their positions and connections."""
