"""Small fakes at the interfaces, for the features."""
