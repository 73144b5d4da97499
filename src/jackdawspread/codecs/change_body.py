"""JSON fields that every configuration change may have."""

from typing import NotRequired, TypedDict


class ChangeBody(TypedDict):
    """Optional fields of every configuration change."""

    expected_version: NotRequired[int]
