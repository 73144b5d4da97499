"""JSON bodies, checked against the shape that is expected."""

from typing import Any, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError, json

from jackdawspread.codecs.unknown_field import find_unknown_field

T = TypeVar("T")

_any_decoder = json.Decoder()
# Making a decoder costs ten times as much as using it.
_decoder_by_shape: dict[Any, json.Decoder[Any]] = {}


def decode_request_body(body: bytes, shape: type[T]) -> Result[T, str]:
    """Decode the JSON of a request, refusing fields that the shape lacks."""
    decoded = decode_json(body, shape)
    if decoded.is_error():
        return decoded
    unknown = find_unknown_field(_any_decoder.decode(body), shape)
    if unknown:
        return Error(f"body is not valid: there is no field {unknown[:100]!r}")
    return decoded


def decode_json(body: bytes, shape: type[T]) -> Result[T, str]:
    """Decode and validate JSON, returning a message that says what to fix."""
    decoder = _decoder_by_shape.get(shape)
    if decoder is None:
        decoder = _decoder_by_shape[shape] = json.Decoder(shape)
    try:
        return Ok(decoder.decode(body))
    except (DecodeError, ValidationError, RecursionError, UnicodeError) as error:
        return Error(f"body is not valid: {error}")
