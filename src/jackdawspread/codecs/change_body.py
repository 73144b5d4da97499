"""Fields of every change of an operator."""

from typing import NotRequired, TypedDict


class ChangeBody(TypedDict):
    """Fields that every change may carry."""

    expected_version: NotRequired[int]
