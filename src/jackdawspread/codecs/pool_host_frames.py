"""Encoding of the messages between an instance and a pool host.

A frame is its length in four bytes, then a MessagePack array of the version of the
format, the kind of message and its fields. Statements carry their kind, as their
fields alone do not tell them apart.
"""

from functools import singledispatch
from typing import Any

from msgspec import convert
from msgspec.msgpack import decode, encode

from jackdawspread.codecs.frame_buffer import FrameBuffer, to_frame
from jackdawspread.codecs.stored_json import DECODE_ERRORS
from jackdawspread.codecs.trailing_defaults import without_trailing_defaults
from jackdawspread.messages.pool_hosts.exchange_answered import ExchangeAnswered
from jackdawspread.messages.pool_hosts.exchange_failed import ExchangeFailed
from jackdawspread.messages.pool_hosts.exchange_requested import ExchangeRequested
from jackdawspread.messages.pool_hosts.host_draining import HostDraining
from jackdawspread.messages.pool_hosts.lease_granted import LeaseGranted
from jackdawspread.messages.pool_hosts.lease_refused import LeaseRefused
from jackdawspread.messages.pool_hosts.lease_released import LeaseReleased
from jackdawspread.messages.pool_hosts.lease_requested import LeaseRequested
from jackdawspread.messages.pool_hosts.link_probe import LinkProbe
from jackdawspread.messages.pool_hosts.pool_host_message import PoolHostMessage
from jackdawspread.messages.pool_hosts.primary_confirmed import PrimaryConfirmed
from jackdawspread.messages.pool_hosts.write_stalled import WriteStalled
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.begin_transaction import BeginTransaction
from jackdawspread.messages.statements.commit_transaction import CommitTransaction
from jackdawspread.messages.statements.execute_prepared import ExecutePrepared
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.prepare_statement import PrepareStatement
from jackdawspread.messages.statements.read_item import ReadItem
from jackdawspread.messages.statements.reset_session import ResetSession
from jackdawspread.messages.statements.rollback_transaction import RollbackTransaction
from jackdawspread.messages.statements.set_value import SetValue
from jackdawspread.messages.statements.write_item import WriteItem

FORMAT = 1
# An answer of a member is at most 1 MiB; the encoding adds little to it.
MAX_FRAME_BYTES = 2 * 1024 * 1024
TYPE_BY_KIND: dict[int, type[PoolHostMessage]] = {
    1: LeaseRequested,
    2: LeaseGranted,
    3: LeaseRefused,
    4: LeaseReleased,
    5: ExchangeRequested,
    6: ExchangeAnswered,
    7: ExchangeFailed,
    8: PrimaryConfirmed,
    9: WriteStalled,
    10: LinkProbe,
    11: HostDraining,
}
KIND_BY_TYPE = {type: kind for kind, type in TYPE_BY_KIND.items()}
STATEMENT_BY_KIND: dict[int, Any] = {
    1: BeginTransaction,
    2: CommitTransaction,
    3: RollbackTransaction,
    4: ReadItem,
    5: WriteItem,
    6: SetValue,
    7: PrepareStatement,
    8: ExecutePrepared,
    9: ResetSession,
}
KIND_BY_STATEMENT = {type: kind for kind, type in STATEMENT_BY_KIND.items()}


class PoolHostFrames:
    """Collects received bytes and decodes the messages in them."""

    def __init__(self) -> None:
        self._buffer = FrameBuffer(MAX_FRAME_BYTES)

    @property
    def held_bytes(self) -> int:
        """Number of received bytes of an incomplete frame."""
        return self._buffer.held_bytes

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer.receive(data)

    def next_message(self) -> PoolHostMessage | None:
        """Return the next message, None if it is incomplete.

        Raises
        ------
        ValueError
            If the frame is malformed, too long or of another format.
        """
        body = self._buffer.next_body()
        return _decode(body) if body is not None else None


def encode_frame(message: PoolHostMessage) -> bytes:
    """Encode a message as a frame."""
    body = encode((FORMAT, KIND_BY_TYPE[type(message)], *_fields(message)))
    return to_frame(body)


@singledispatch
def _fields(message: Any) -> tuple[Any, ...]:
    return tuple(message)


@_fields.register(LeaseRequested)
@_fields.register(LeaseGranted)
def _(message: LeaseRequested | LeaseGranted) -> tuple[Any, ...]:
    return without_trailing_defaults(message)


@_fields.register
def _(message: ExchangeRequested) -> tuple[Any, ...]:
    commands = [
        (
            command.id,
            KIND_BY_STATEMENT[type(command.statement)],
            tuple(command.statement),
            command.required_position,
        )
        for command in message.commands
    ]
    return message.lease, message.exchange, commands, message.time_left_s


def _decode(frame: bytes) -> PoolHostMessage:
    try:
        match decode(frame, type=list):
            case [1, int(kind), *values] if kind in TYPE_BY_KIND:
                if TYPE_BY_KIND[kind] is ExchangeRequested:
                    values[2] = [_decode_command(fields) for fields in values[2]]
                    return ExchangeRequested(
                        convert(values[0], int),
                        convert(values[1], int),
                        tuple(values[2]),
                        convert(values[3], float),
                    )
                return convert(values, type=TYPE_BY_KIND[kind])
    except (*DECODE_ERRORS, IndexError, KeyError, TypeError) as error:
        raise ValueError(f"malformed frame: {error!r}") from error
    raise ValueError("a frame of an unsupported format or kind")


def _decode_command(fields: Any) -> MemberCommand:
    id, kind, values, position = fields
    return MemberCommand(
        convert(id, str),
        convert(values, STATEMENT_BY_KIND[kind]),
        convert(position, Position | None),
    )
