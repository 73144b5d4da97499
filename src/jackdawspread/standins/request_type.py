"""Decoding of JSON objects into request types."""

from typing import Any, NamedTuple, get_type_hints

from expression import Error, Ok, Result
from msgspec import Struct, defstruct, structs

from jackdawspread.codecs.json_body import decode_json


class RequestType(NamedTuple):
    """Request type with the struct that validates its JSON object.

    msgspec decodes a NamedTuple only from an array, so an object is decoded into a
    struct with the same fields first.
    """

    request: type[Any]
    struct: type[Struct]


def derive_request_type(request: type[Any]) -> RequestType:
    """Derive the struct of a request type from its fields."""
    defaults = request._field_defaults
    fields = [
        (name, hint, defaults[name]) if name in defaults else (name, hint)
        for name, hint in get_type_hints(request).items()
    ]
    return RequestType(request, defstruct(request.__name__, fields))


def decode_request(body: bytes, request_type: RequestType) -> Result[Any, str]:
    """Decode and validate the JSON object of a request."""
    decoded = decode_json(body or b"{}", request_type.struct)
    if decoded.is_error():
        return Error(decoded.error)
    return Ok(request_type.request(*structs.astuple(decoded.ok)))
