"""Kind of member that a statement needs."""

from enum import StrEnum


class MemberRequirement(StrEnum):
    """Whether the primary, any fresh enough member, or a named member is needed."""

    PRIMARY = "primary"
    FRESH = "fresh"
    NAMED = "named"
