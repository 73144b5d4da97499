"""Role of a member."""

from enum import StrEnum


class Role(StrEnum):
    """Whether a member takes writes."""

    PRIMARY = "primary"
    REPLICA = "replica"
