"""Encoding of the frames between instances with MessagePack.

A frame is ``[version, kind, id, body]``; a batch is a list of frames. A
deadline is sent as remaining seconds, since instances have no common clock.
"""

from functools import singledispatch
from math import isfinite
from typing import Any, get_args

from expression import Error, Ok
from msgspec import DecodeError, Raw, ValidationError, msgpack

from jackdawspread.messages.answer import Answer
from jackdawspread.messages.peer_hello import PeerHello
from jackdawspread.messages.peer_message import PeerMessage
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.unsupported_frame import UnsupportedFrame

WIRE_VERSION = 1
DECODE_ERRORS = (DecodeError, ValidationError, RecursionError, UnicodeError)

PeerContent = PeerHello | PeerMessage | RoutedRequest | RoutedReply
Frame = tuple[int, str, str, Raw]
EncodableFrame = tuple[int, str, str, Any]

TYPE_BY_KIND: dict[str, Any] = {
    kind.__name__: kind for kind in (PeerHello, *get_args(PeerMessage))
}
REQUEST_KIND = RoutedRequest.__name__
ANSWER_KIND = Answer.__name__
REFUSAL_KIND = Refusal.__name__

_encoder = msgpack.Encoder()
_batch_decoder = msgpack.Decoder(list[Raw])
_frame_decoder = msgpack.Decoder(Frame)
_elements_decoder = msgpack.Decoder(list[Raw])
_id_decoder = msgpack.Decoder(str)
_request_decoder = msgpack.Decoder(RoutedRequest)
_answer_decoder = msgpack.Decoder(Answer)
_refusal_decoder = msgpack.Decoder(Refusal)


def encode_batch(frames: list[EncodableFrame]) -> bytes:
    """Encode frames as one batch."""
    return _encoder.encode(frames)


def decode_batch(data: bytes, now: float) -> list[PeerContent | UnsupportedFrame]:
    """Decode a batch.

    A frame with an unknown version or kind, or with a body of another type, becomes
    an `UnsupportedFrame`, so that instances of two versions can work together. Bytes
    that are not a batch become one `UnsupportedFrame` without an id.
    """
    try:
        frames = _batch_decoder.decode(data)
    except DECODE_ERRORS:
        return [UnsupportedFrame(0, "", "")]
    return [_decode_frame(frame, now) for frame in frames]


@singledispatch
def encode_frame(content: object, now: float) -> EncodableFrame:
    """Return the frame of a message; `now` is the monotonic time in seconds."""
    return WIRE_VERSION, type(content).__name__, "", content


@encode_frame.register
def _(content: RoutedRequest, now: float) -> EncodableFrame:
    remaining = content._replace(deadline=content.deadline - now)
    return WIRE_VERSION, REQUEST_KIND, content.id, remaining


@encode_frame.register
def _(content: RoutedReply, now: float) -> EncodableFrame:
    if content.reply.is_ok():
        return WIRE_VERSION, ANSWER_KIND, content.id, content.reply.ok
    return WIRE_VERSION, REFUSAL_KIND, content.id, content.reply.error


def _decode_frame(data: Raw, now: float) -> PeerContent | UnsupportedFrame:
    try:
        version, kind, id, body = _frame_decoder.decode(data)
    except DECODE_ERRORS:
        return UnsupportedFrame(0, "", _id_of(data))
    if version == WIRE_VERSION:
        try:
            return _decode_body(kind, id, body, now)
        except (*DECODE_ERRORS, KeyError):
            return UnsupportedFrame(version, kind, id)
    return UnsupportedFrame(version, kind, id)


def _id_of(data: Raw) -> str:
    """Return the id of a frame of another structure, so that it can be refused."""
    try:
        return _id_decoder.decode(_elements_decoder.decode(data)[2])
    except (*DECODE_ERRORS, IndexError):
        return ""


def _decode_body(kind: str, id: str, body: Raw, now: float) -> PeerContent:
    if kind == REQUEST_KIND:
        request = _request_decoder.decode(body)
        if not isfinite(request.deadline):
            raise ValidationError("the deadline is not a finite number")
        return request._replace(deadline=now + request.deadline)
    if kind == ANSWER_KIND:
        return RoutedReply(id, Ok(_answer_decoder.decode(body)))
    if kind == REFUSAL_KIND:
        return RoutedReply(id, Error(_refusal_decoder.decode(body)))
    content: PeerContent = msgpack.decode(body, type=TYPE_BY_KIND[kind])
    return content
