"""Decoding of JSON that another program has written to a shared store."""

from typing import TypeVar

from msgspec import DecodeError, ValidationError
from msgspec.json import decode

T = TypeVar("T")

# What the decoder raises for bytes that are not a document of the expected type.
# Deeply nested arrays exhaust the interpreter's stack, and a number may be too large.
DECODE_ERRORS = (
    DecodeError,
    ValidationError,
    RecursionError,
    UnicodeError,
    OverflowError,
)


def decode_stored(value: bytes, document_type: type[T]) -> T:
    """Decode a stored document.

    Raises
    ------
    ValueError
        If the bytes are not a document of the type.
    """
    try:
        return decode(value, type=document_type)
    except DECODE_ERRORS as error:
        raise ValueError(f"unreadable: {error}") from error
