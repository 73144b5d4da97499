"""Error of a task that a step definition has started."""


class FailedTaskError(Exception):
    """A task has ended all others of its thread by an error, which is the cause."""
