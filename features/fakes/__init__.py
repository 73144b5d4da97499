"""Fakes of outside systems and test fixtures for the features."""
