"""Decoding of JSON bodies, validated against an expected type."""

from typing import Any, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError, json

from jackdawspread.codecs.unknown_field import find_unknown_field

T = TypeVar("T")

_any_decoder = json.Decoder()
# Creating a decoder takes ten times as long as decoding with it.
_decoder_by_type: dict[Any, json.Decoder[Any]] = {}


def decode_request_body(body: bytes, body_type: type[T]) -> Result[T, str]:
    """Decode the JSON body of a request; reject fields that its type lacks."""
    decoded = decode_json(body, body_type)
    if decoded.is_error():
        return decoded
    unknown = find_unknown_field(_any_decoder.decode(body), body_type)
    if unknown:
        return Error(f"body is not valid: there is no field {unknown[:100]!r}")
    return decoded


def decode_json(body: bytes, body_type: type[T]) -> Result[T, str]:
    """Decode and validate JSON; the error is a message for the sender."""
    decoder = _decoder_by_type.get(body_type)
    if decoder is None:
        decoder = _decoder_by_type[body_type] = json.Decoder(body_type)
    try:
        return Ok(decoder.decode(body))
    except (DecodeError, ValidationError, RecursionError, UnicodeError) as error:
        return Error(f"body is not valid: {error}")
