"""Encoding of the datagrams between instances.

A datagram is a MessagePack array of the version of the format, the kind of message and
its fields. A datagram of another version or kind is ignored, since instances are
upgraded one by one.
"""

from functools import singledispatch
from math import inf, isfinite
from typing import Any

from msgspec import convert
from msgspec.msgpack import decode, encode

from jackdawspread.codecs.lease_check import check_leases
from jackdawspread.codecs.listing_check import check_listing, check_name
from jackdawspread.codecs.network_address import parse_address
from jackdawspread.codecs.stored_json import DECODE_ERRORS
from jackdawspread.codecs.trailing_defaults import without_trailing_defaults
from jackdawspread.decisions.store_reads.digest_relay import MAX_HOPS
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.fleet.peer_datagram import PeerDatagram
from jackdawspread.messages.fleet.primary_demotion_reply import PrimaryDemotionReply
from jackdawspread.messages.fleet.primary_demotion_request import (
    PrimaryDemotionRequest,
)
from jackdawspread.messages.fleet.primary_position_reply import PrimaryPositionReply
from jackdawspread.messages.fleet.primary_position_request import (
    PrimaryPositionRequest,
)
from jackdawspread.messages.fleet.promotion_announced import PromotionAnnounced
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.fleet.promotion_states_relayed import (
    PromotionStatesRelayed,
)
from jackdawspread.messages.fleet.rate_leases_announced import RateLeasesAnnounced
from jackdawspread.messages.fleet.token_reply import TokenReply
from jackdawspread.messages.fleet.token_request import TokenRequest

# Format 1 was that of the loans between instances with shares.
FORMAT = 2
TYPE_BY_KIND: dict[int, type[PeerDatagram]] = {
    1: TokenRequest,
    2: TokenReply,
    3: RateLeasesAnnounced,
    4: MembersRelayed,
    5: ConfigurationConfirmed,
    6: PrimaryPositionRequest,
    7: PrimaryPositionReply,
    8: PrimaryDemotionRequest,
    9: PrimaryDemotionReply,
    10: ConfigurationDigest,
    11: PromotionStatesRelayed,
    12: PromotionAnnounced,
    13: PromotionAnnouncementReceived,
}
KIND_BY_TYPE = {type: kind for kind, type in TYPE_BY_KIND.items()}
# A larger term, token or version does not fit into a signed 64-bit integer.
MAX_INTEGER = 2**63 - 1
# Longer messages are not sent; their receivers ask the store.
MAX_DATAGRAM_BYTES = 32 * 1024


def encode_datagram(message: PeerDatagram) -> bytes:
    """Encode a message as a datagram."""
    return encode((FORMAT, KIND_BY_TYPE[type(message)], *_fields(message)))


@singledispatch
def _fields(message: Any) -> tuple[Any, ...]:
    return without_trailing_defaults(message)


@_fields.register
def _(message: MembersRelayed) -> tuple[Any, ...]:
    listings = [without_trailing_defaults(listing) for listing in message.listings]
    return message.instance, message.failure_domain, message.store_time_s, listings


@_fields.register
def _(message: PromotionStatesRelayed) -> tuple[Any, ...]:
    # Most groups have no promotion under way, so their states are short.
    states = [without_trailing_defaults(state) for state in message.states]
    return without_trailing_defaults(message._replace(states=states))  # type: ignore[arg-type]


def decode_datagram(data: bytes) -> PeerDatagram | None:
    """Decode a datagram; None if it is malformed or of another format or kind."""
    try:
        fields: list[Any] = decode(data, type=list)
        match fields:
            case [2, int(kind), *values] if kind in TYPE_BY_KIND:
                message = convert(values, type=TYPE_BY_KIND[kind])
                _check(message)
                return message
    except (*DECODE_ERRORS, ValueError):
        return None
    return None


@singledispatch
def _check(message: object) -> None:
    """Check what the types don't express; raise ValueError."""


@_check.register
def _(message: RateLeasesAnnounced) -> None:
    check_leases(message.record)


@_check.register
def _(message: MembersRelayed) -> None:
    check_name(message.instance)
    _check_time(message.store_time_s)
    for listing in message.listings:
        check_listing(listing)


@_check.register
def _(message: ConfigurationConfirmed) -> None:
    _check_time(message.store_time_s)
    for domain in message.evacuated_domains or ():
        check_name(domain)


@_check.register
def _(message: ConfigurationDigest) -> None:
    check_name(message.instance)
    parse_address(message.address)
    _check_time(message.confirmed_s)
    if not 0 <= message.hops < MAX_HOPS:
        raise ValueError("a digest may be passed on a few times only")
    if not 0 < message.link_bytes_per_s < inf:
        raise ValueError("a rate must be finite and positive")
    for domain in message.evacuated_domains or ():
        check_name(domain)


@_check.register
def _(message: PrimaryPositionReply) -> None:
    if not (isfinite(message.age_s) and message.age_s >= 0):
        raise ValueError("an age must be finite and not negative")


@_check.register
def _(message: PrimaryDemotionRequest) -> None:
    check_name(message.group)
    check_name(message.member)
    if not 0 < message.term <= MAX_INTEGER:
        raise ValueError("a term must be positive and not too large")


@_check.register
def _(message: PromotionStatesRelayed) -> None:
    check_name(message.instance)
    _check_time(message.store_time_s)
    _check_time(message.epoch_age_s)
    if message.epoch_age_s < 0:
        raise ValueError("an age must not be negative")
    _check_integers(message.epoch)
    groups = {state.group for state in message.states}
    if len(groups) != len(message.states):
        raise ValueError("a group may have one state only")
    for state in message.states:
        _check_promotion_state(state)
        if state.epoch != message.epoch:
            raise ValueError("all states must be of the epoch that was read")


@_check.register
def _(message: PromotionAnnounced) -> None:
    _check_integers(message.id)
    _check_promotion_state(message.state)


@_check.register
def _(message: PromotionAnnouncementReceived) -> None:
    _check_integers(message.id)
    check_name(message.instance)
    for position in message.acknowledged:
        _check_integers(*(position or ()))


def _check_promotion_state(state: PromotionState) -> None:
    _check_integers(state.epoch, state.version, state.token, *(state.log_end or ()))
    check_name(state.group)
    # The name is empty if no promotion was ever requested.
    for member in (*state.outstanding, state.last_requested or "none"):
        check_name(member)


def _check_integers(*numbers: int) -> None:
    if not all(0 <= number <= MAX_INTEGER for number in numbers):
        raise ValueError("a number must not be negative or too large")


def _check_time(store_time_s: float) -> None:
    if not isfinite(store_time_s):
        raise ValueError("a time must be finite")
