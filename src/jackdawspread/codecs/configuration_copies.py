"""Encoding of copies of the configuration between instances.

A frame is its length in four bytes, then a MessagePack array of the version of the
format and the fields of the message. The changes in a copy are compressed, since
routes resemble each other.
"""

from collections.abc import Mapping
from functools import singledispatch
from math import isfinite
from typing import Annotated, TypeVar
from zlib import compress, crc32, decompressobj
from zlib import error as ZlibError

from msgspec import Meta, convert
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
from jackdawspread.messages.fleet.member_group import MemberGroup

M = TypeVar("M", ConfigurationCopy, ConfigurationCopyRequest)

FORMAT = 1
# The higher levels take several times as long for a few per cent less.
COMPRESSION_LEVEL = 1
# More than the largest configuration that the store accepts.
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_CHANGES_BYTES = 64 * 1024 * 1024
# Fields of a member group that the version without `sync_replicas` knows.
EARLIER_FIELDS = 3

ReplicaCount = Annotated[int, Meta(ge=0)]


def configuration_revision(configuration: FleetConfiguration) -> ConfigurationRevision:
    """Return the identity of a configuration, which is the same at all instances.

    It leaves out the fields that the earlier version lacks, so that instances of both
    versions confirm the configuration to each other.
    """
    groups = _earlier_groups(configuration.group_by_name)
    content = encode(
        configuration._replace(group_by_name=groups),  # type: ignore[arg-type]
        order="deterministic",
    )
    return ConfigurationRevision(configuration.version, crc32(content))


def encode_changes(changes: ConfigurationChanges) -> bytes:
    """Encode and compress changes.

    The numbers of replicas that confirm commits follow in a second compressed stream,
    which the earlier version ignores. It is always there, since without it the numbers
    are unknown.
    """
    groups = _earlier_groups(changes.group_by_name)
    earlier = changes._replace(group_by_name=groups)  # type: ignore[arg-type]
    replicas_by_group = {
        name: group.sync_replicas
        for name, group in changes.group_by_name.items()
        if group.sync_replicas
    }
    return compress(encode(earlier), COMPRESSION_LEVEL) + compress(
        encode(replicas_by_group), COMPRESSION_LEVEL
    )


def decode_changes(data: bytes) -> ConfigurationChanges:
    """Decode compressed changes.

    Changes from an instance of the earlier version lack the numbers of replicas that
    confirm commits. They count as 1, which loses no commit, until the configuration is
    read from the store or changes.

    Raises
    ------
    ValueError
        If the bytes are not changes of a configuration.
    """
    try:
        encoded, rest = _decompress(data)
        changes = decode(encoded, type=ConfigurationChanges)
        replicas_by_group = dict.fromkeys(changes.group_by_name, 1)
        if rest:
            encoded, _ = _decompress(rest)
            replicas_by_group = decode(encoded, type=dict[str, ReplicaCount])
    except (*DECODE_ERRORS, ZlibError) as error:
        raise ValueError(f"unreadable changes: {error}") from error
    groups = {
        name: group._replace(sync_replicas=replicas_by_group.get(name, 0))
        for name, group in changes.group_by_name.items()
    }
    return changes._replace(group_by_name=groups)


def _decompress(data: bytes) -> tuple[bytes, bytes]:
    """Return the content of the first stream, and the bytes that follow it."""
    decompressor = decompressobj()
    content = decompressor.decompress(data, MAX_CHANGES_BYTES)
    if not decompressor.eof:
        raise ValueError("the changes are incomplete or too long")
    return content, decompressor.unused_data


def _earlier_groups(
    group_by_name: Mapping[str, MemberGroup],
) -> dict[str, tuple[object, ...]]:
    return {name: group[:EARLIER_FIELDS] for name, group in group_by_name.items()}


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
