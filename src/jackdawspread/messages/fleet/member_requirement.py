"""Requirement on the member that runs a statement."""

from enum import StrEnum


class MemberRequirement(StrEnum):
    """Whether a statement needs the primary, a fresh enough member or a named one."""

    PRIMARY = "primary"
    FRESH = "fresh"
    NAMED = "named"
