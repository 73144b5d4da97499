"""Decoding of JSON objects into request NamedTuples."""

from typing import Any, NamedTuple, get_type_hints

from expression import Error, Ok, Result
from msgspec import Struct, defstruct, structs

from jackdawspread.codecs.json_body import decode_json


class RequestShape(NamedTuple):
    """Request type with the structure that validates its JSON object.

    msgspec reads a NamedTuple from an array only, so objects go through a struct
    with the same fields.
    """

    request: type[Any]
    struct: type[Struct]


def request_shape(request: type[Any]) -> RequestShape:
    """Derive the structure of a request type."""
    defaults = request._field_defaults
    fields = [
        (name, hint, defaults[name]) if name in defaults else (name, hint)
        for name, hint in get_type_hints(request).items()
    ]
    return RequestShape(request, defstruct(request.__name__, fields))


def decode_request(body: bytes, shape: RequestShape) -> Result[Any, str]:
    """Decode and validate the JSON object of a request."""
    decoded = decode_json(body or b"{}", shape.struct)
    if decoded.is_error():
        return Error(decoded.error)
    return Ok(shape.request(*structs.astuple(decoded.ok)))
