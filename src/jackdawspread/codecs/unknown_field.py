"""Search for fields that a shape does not have."""

from functools import cache
from typing import Any, NotRequired, get_args, get_origin, get_type_hints, is_typeddict


def find_unknown_field(value: Any, shape: Any) -> str:
    """Return the first field of decoded JSON that its TypedDict lacks, or ``""``.

    msgspec passes over unknown fields of a TypedDict, so that a misspelt option
    would be ignored without a word.
    """
    if is_typeddict(shape) and isinstance(value, dict):
        fields = _fields(shape)
        for name, item in value.items():
            if name not in fields:
                return str(name)
            found = find_unknown_field(item, fields[name])
            if found:
                return found
    if get_origin(shape) is list and isinstance(value, list):
        (item_shape,) = get_args(shape)
        if is_typeddict(item_shape):
            found_in = (find_unknown_field(item, item_shape) for item in value)
            return next((found for found in found_in if found), "")
    return ""


@cache
def _fields(shape: Any) -> dict[str, Any]:
    hints = get_type_hints(shape, include_extras=True)
    return {
        name: get_args(hint)[0] if get_origin(hint) is NotRequired else hint
        for name, hint in hints.items()
    }
