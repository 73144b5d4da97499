"""Configuration and the preset in force."""
