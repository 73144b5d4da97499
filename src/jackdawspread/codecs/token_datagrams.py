"""Encoding of the datagrams by which instances lend each other rate tokens.

A datagram is a MessagePack array that begins with the version of the format and the
kind of message. A datagram of another version or kind is ignored, since instances are
upgraded one by one.
"""

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode

from jackdawspread.messages.fleet.token_grant import TokenGrant
from jackdawspread.messages.fleet.token_request import TokenRequest

FORMAT = 1
REQUEST = 1
GRANT = 2
MAX_DATAGRAM_BYTES = 512
MAX_TOKENS = 1_000


def encode_datagram(message: TokenRequest | TokenGrant) -> bytes:
    """Encode a message as a datagram."""
    kind = REQUEST if isinstance(message, TokenRequest) else GRANT
    return encode((FORMAT, kind, *message))


def decode_datagram(data: bytes) -> TokenRequest | TokenGrant | None:
    """Decode a datagram; None if it is malformed or of another format or kind."""
    try:
        fields = decode(data, type=list[int | str])
    except (DecodeError, ValidationError):
        return None
    match fields:
        case [1, 1, int(id), str(workspace), int(tokens)] if 0 <= tokens <= MAX_TOKENS:
            return TokenRequest(id, workspace, tokens)
        case [1, 2, int(id), int(tokens)] if 0 <= tokens <= MAX_TOKENS:
            return TokenGrant(id, tokens)
    return None
