"""Refusal by a member."""

from typing import NamedTuple


class MemberRefusal(NamedTuple):
    """Code and detail of a refusal; the member did not run the call."""

    code: str
    detail: str
