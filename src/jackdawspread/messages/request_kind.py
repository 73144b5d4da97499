"""Kinds of request that a caller can make."""

from enum import StrEnum


class RequestKind(StrEnum):
    """Operation that a request asks for."""

    READ = "read"
    WRITE = "write"
    OUTCOME = "outcome"
    BEGIN = "begin"
    EXECUTE = "execute"
    COMMIT = "commit"
    ROLLBACK = "rollback"
