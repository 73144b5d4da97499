"""Configuration and the selected preset."""
