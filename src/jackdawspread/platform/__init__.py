"""Adapter to the users' platform: wire protocols, store, settings and composition."""
