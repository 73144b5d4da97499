"""Encoding of copies of the configuration between instances.

A frame is its length in four bytes, then a MessagePack array of the version of the
format and the fields of the message. The changes in a copy are compressed, since
routes resemble each other.
"""

from functools import singledispatch
from math import isfinite
from typing import TypeVar
from zlib import compress, crc32, decompressobj
from zlib import error as ZlibError

from msgspec import convert
from msgspec.msgpack import decode, encode

from jackdawspread.codecs.frame_buffer import to_frame
from jackdawspread.codecs.stored_json import DECODE_ERRORS
from jackdawspread.messages.fleet.configuration_changes import ConfigurationChanges
from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_copy_request import (
    ConfigurationCopyRequest,
)
from jackdawspread.messages.fleet.configuration_revision import ConfigurationRevision
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration

M = TypeVar("M", ConfigurationCopy, ConfigurationCopyRequest)

FORMAT = 1
# The higher levels take several times as long for a few per cent less.
COMPRESSION_LEVEL = 1
# More than the largest configuration that the store accepts.
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_CHANGES_BYTES = 64 * 1024 * 1024


def configuration_revision(configuration: FleetConfiguration) -> ConfigurationRevision:
    """Return the identity of a configuration, which is the same at all instances."""
    content = encode(configuration, order="deterministic")
    return ConfigurationRevision(configuration.version, crc32(content))


def encode_changes(changes: ConfigurationChanges) -> bytes:
    """Encode and compress changes."""
    return compress(encode(changes), COMPRESSION_LEVEL)


def decode_changes(data: bytes) -> ConfigurationChanges:
    """Decode compressed changes.

    Raises
    ------
    ValueError
        If the bytes are not changes of a configuration.
    """
    decompressor = decompressobj()
    try:
        encoded = decompressor.decompress(data, MAX_CHANGES_BYTES)
        if not decompressor.eof:
            raise ValueError("the changes are incomplete or too long")
        return decode(encoded, type=ConfigurationChanges)
    except (*DECODE_ERRORS, ZlibError) as error:
        raise ValueError(f"unreadable changes: {error}") from error


def encode_copy_frame(message: ConfigurationCopy | ConfigurationCopyRequest) -> bytes:
    """Encode a message as a frame."""
    body = encode((FORMAT, *message))
    return to_frame(body)


def decode_copy_frame(frame: bytes, message_type: type[M]) -> M:
    """Decode a frame without its length.

    Raises
    ------
    ValueError
        If the frame is not such a message, or of another format.
    """
    try:
        match decode(frame, type=list):
            case [1, *values]:
                message = convert(values, type=message_type)
                _check(message)
                return message
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed frame: {error}") from error
    raise ValueError("a frame of an unsupported format")


@singledispatch
def _check(message: object) -> None:
    """Check what the types don't express; raise ValueError."""


@_check.register
def _(message: ConfigurationCopy) -> None:
    if not isfinite(message.confirmed_s):
        raise ValueError("a time must be finite")
