"""Error answer of a member."""

from typing import Any, NamedTuple


class MemberRefusal(NamedTuple):
    """HTTP status, code and detail of an error answer, with further fields."""

    status: int
    code: str
    detail: str
    fields: dict[str, Any] = {}
