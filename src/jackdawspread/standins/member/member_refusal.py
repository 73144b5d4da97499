"""Error answer of a member."""

from typing import Any, NamedTuple


class MemberRefusal(NamedTuple):
    """HTTP status, code, detail and further body fields of an error answer."""

    status: int
    code: str
    detail: str
    fields: dict[str, Any] = {}
