"""Kinds of request that a caller can make."""

from enum import StrEnum


class RequestKind(StrEnum):
    """What a request asks of a database."""

    READ = "read"
    WRITE = "write"
    OUTCOME = "outcome"
    BEGIN = "begin"
    EXECUTE = "execute"
    COMMIT = "commit"
    ROLLBACK = "rollback"
