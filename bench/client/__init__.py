"""HTTP clients of the bench."""
