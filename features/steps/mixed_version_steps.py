"""Steps for messages between instances of two versions."""

from behave import then, when
from behave.runner import Context
from msgspec.msgpack import decode

from jackdawspread.codecs.frame_buffer import LENGTH_BYTES
from jackdawspread.codecs.peer_datagrams import decode_datagram, encode_datagram
from jackdawspread.codecs.pool_host_frames import (
    PoolHostFrames,
    encode_frame,
)
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.connection_context import EMPTY_CONTEXT
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.pool_hosts.lease_granted import LeaseGranted
from jackdawspread.messages.pool_hosts.lease_requested import LeaseRequested
from jackdawspread.messages.position import Position

# A frame begins with the version of the format and the kind of the message.
HEADER_FIELDS = 2
EARLIER_BY_NAME = {
    "LeaseRequested": LeaseRequested(
        *(3, "g", "w", MemberRequirement.FRESH, 1.5, None),
        *(frozenset(), 1, 0.25, True),
    ),
    "LeaseGranted": LeaseGranted(
        3, "m0", "g", EMPTY_CONTEXT, False, Position(2, 5), 0.5
    ),
}
NEW_BY_NAME = {
    "LeaseRequested": EARLIER_BY_NAME["LeaseRequested"]._replace(
        allowed_regions=frozenset({"north"})
    ),
    "LeaseGranted": EARLIER_BY_NAME["LeaseGranted"]._replace(is_cold=True),
}

LISTING = MemberListing("m0", "g", "10.0.0.1:80", "z1", 2, False, True)
EARLIER_DATAGRAM_BY_NAME = {
    "ConfigurationConfirmed": ConfigurationConfirmed(7, 1.5),
    "MembersRelayed": MembersRelayed("i1", "z1", 1.5, (LISTING,)),
}
EARLIER_FIELDS_BY_NAME = {
    "ConfigurationConfirmed": [7, 1.5],
    "MembersRelayed": ["i1", "z1", 1.5, [[*LISTING[:7]]]],
}
NEW_DATAGRAM_BY_NAME = {
    "ConfigurationConfirmed": ConfigurationConfirmed(7, 1.5, ()),
    "MembersRelayed": MembersRelayed(
        "i1", "z1", 1.5, (LISTING, LISTING._replace(cold_remaining_s=8.0))
    ),
}


@when('a "{name}" that uses no new feature is sent to another instance')
def sent(context: Context, name: str) -> None:
    """Encode the message."""
    frame = encode_frame(EARLIER_BY_NAME[name])
    context.fields = decode(frame[LENGTH_BYTES:])[HEADER_FIELDS:]


@then("it has {count:d} fields")
def has_fields(context: Context, count: int) -> None:
    """Compare the number of fields with the earlier version."""
    assert len(context.fields) == count, context.fields


@then('a "{name}" that uses a new feature is received unchanged')
def received(context: Context, name: str) -> None:
    """Encode and decode a message with a new field."""
    frames = PoolHostFrames()
    frames.receive(encode_frame(NEW_BY_NAME[name]))
    assert frames.next_message() == NEW_BY_NAME[name]


@when('a "{name}" that uses no new feature is broadcast')
def broadcast(context: Context, name: str) -> None:
    """Encode the datagram."""
    context.name = name
    context.fields = decode(encode_datagram(EARLIER_DATAGRAM_BY_NAME[name]))


@then("its fields are those of the earlier version")
def has_earlier_fields(context: Context) -> None:
    """Compare the fields with the earlier version."""
    fields = context.fields[HEADER_FIELDS:]
    assert fields == EARLIER_FIELDS_BY_NAME[context.name], fields


@then('a "{name}" that uses a new feature is broadcast unchanged')
def broadcast_unchanged(context: Context, name: str) -> None:
    """Encode and decode a datagram with a new field."""
    message = NEW_DATAGRAM_BY_NAME[name]
    assert decode_datagram(encode_datagram(message)) == message
