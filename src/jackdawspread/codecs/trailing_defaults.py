"""Fields of a message that earlier versions of the format do not know."""

from typing import Any


def without_trailing_defaults(message: Any) -> tuple[Any, ...]:
    """Return the fields of a ``NamedTuple`` without the last ones that have defaults.

    Instances are upgraded one by one, and an earlier version refuses a message with
    more fields than it knows. New fields are therefore added at the end, with defaults
    that stand for a feature that is not used.
    """
    defaults = type(message)._field_defaults
    fields = list(message)
    for name in reversed(type(message)._fields):
        if name not in defaults or fields[-1] != defaults[name]:
            break
        fields.pop()
    return tuple(fields)
