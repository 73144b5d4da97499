"""Refusal by a member."""

from typing import NamedTuple


class MemberRefusal(NamedTuple):
    """Code and detail with which a member refused a call; it ran nothing."""

    code: str
    detail: str
