"""Members of a database under promotion in one step, shared by two models."""
