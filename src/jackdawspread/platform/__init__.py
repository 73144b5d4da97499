"""Adapter between the product and the users' platform."""
