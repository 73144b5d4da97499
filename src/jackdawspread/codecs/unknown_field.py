"""Search for JSON fields that the expected type lacks."""

from functools import cache
from typing import Any, NotRequired, get_args, get_origin, get_type_hints, is_typeddict


def find_unknown_field(value: Any, type_: Any) -> str:
    """Return the first field of decoded JSON that its TypedDict lacks, or ``""``.

    msgspec ignores unknown fields of a TypedDict, so a misspelt option would be
    dropped silently.
    """
    if is_typeddict(type_) and isinstance(value, dict):
        fields = _fields(type_)
        for name, item in value.items():
            if name not in fields:
                return str(name)
            found = find_unknown_field(item, fields[name])
            if found:
                return found
    if get_origin(type_) is list and isinstance(value, list):
        (item_type,) = get_args(type_)
        if is_typeddict(item_type):
            found_in = (find_unknown_field(item, item_type) for item in value)
            return next((found for found in found_in if found), "")
    return ""


@cache
def _fields(type_: Any) -> dict[str, Any]:
    hints = get_type_hints(type_, include_extras=True)
    return {
        name: get_args(hint)[0] if get_origin(hint) is NotRequired else hint
        for name, hint in hints.items()
    }
