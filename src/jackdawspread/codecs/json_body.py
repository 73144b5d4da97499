"""JSON bodies."""

from typing import Any, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError, json

T = TypeVar("T")

_encoder = json.Encoder()


def encode_json(value: Any) -> bytes:
    """Encode a value as JSON; NamedTuples become arrays."""
    return _encoder.encode(value)


def decode_json(body: bytes, shape: type[T]) -> Result[T, str]:
    """Decode and validate JSON, returning a message that says what to fix."""
    try:
        return Ok(json.decode(body, type=shape))
    except (DecodeError, ValidationError, RecursionError, UnicodeError) as error:
        return Error(f"body is not valid: {error}")
