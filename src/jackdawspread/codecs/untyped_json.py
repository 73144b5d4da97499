"""Encoding and decoding of JSON that is not validated against a type.

This module is separate from ``json_body``, since importing the result type that
``json_body`` uses takes a fifth of the startup time of an instance.
"""

from typing import Any

from msgspec import json

_encoder = json.Encoder()
_object_decoder = json.Decoder(dict[str, Any])


def encode_json(value: Any) -> bytes:
    """Encode a value as JSON; NamedTuples become arrays."""
    return _encoder.encode(value)


def decode_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object.

    Raises
    ------
    ValueError
        If the bytes are not JSON in UTF-8, or not an object.
    """
    try:
        return _object_decoder.decode(body)
    except RecursionError as error:
        raise ValueError("the body is nested too deeply") from error
