"""Execution status of a refused request."""

from enum import StrEnum


class ExecutionStatus(StrEnum):
    """What is known about the execution of a refused request.

    ``NOT_RUN`` means that no database has executed the request and none will.
    ``RAN`` means that it was executed, and ``UNKNOWN`` that it may have been.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
