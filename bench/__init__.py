"""Launcher, load tool, checker and measured experiments."""
