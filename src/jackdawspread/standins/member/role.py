"""Role of a member."""

from enum import StrEnum


class Role(StrEnum):
    """Whether a member accepts writes or replicates them."""

    PRIMARY = "primary"
    REPLICA = "replica"
