"""Error that ends a run."""


class BenchError(Exception):
    """A run could not be carried out; the message says at which step."""
