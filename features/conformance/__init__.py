"""Decisions of the source and models of the specification, run side by side."""
