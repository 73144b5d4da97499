"""Steps for messages between instances of two versions."""

from unittest import mock
from zlib import compress, crc32, decompressobj

from behave import given, then, when
from behave.runner import Context
from features.wire.platform_world import GROUP, initial_configuration
from msgspec.json import encode as encode_json
from msgspec.msgpack import decode, encode

from jackdawspread.codecs import peer_datagrams
from jackdawspread.codecs.configuration_copies import (
    configuration_revision,
    decode_changes,
    encode_changes,
)
from jackdawspread.codecs.frame_buffer import LENGTH_BYTES
from jackdawspread.codecs.peer_datagrams import decode_datagram, encode_datagram
from jackdawspread.codecs.pool_host_frames import (
    PoolHostFrames,
    encode_frame,
)
from jackdawspread.decisions.store_reads.configuration_changes import (
    EMPTY_CONFIGURATION,
    apply_changes,
    configuration_changes,
)
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.connection_context import EMPTY_CONTEXT
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.fleet.promotion_announced import PromotionAnnounced
from jackdawspread.messages.fleet.promotion_announcement_received import (
    PromotionAnnouncementReceived,
)
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.fleet.promotion_states_relayed import (
    PromotionStatesRelayed,
)
from jackdawspread.messages.pool_hosts.lease_granted import LeaseGranted
from jackdawspread.messages.pool_hosts.lease_requested import LeaseRequested
from jackdawspread.messages.position import Position
from jackdawspread.platform.configuration_rows import decode_configuration

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


# Largest kind of datagram, and number of fields of a group, in the earlier version.
EARLIER_KIND = 10
EARLIER_GROUP_FIELDS = 3
STATE = PromotionState("g", 1, 3, 4, True, ("m0",), "m0", Position(2, 5))
PROMOTION_DATAGRAM_BY_NAME = {
    "PromotionStatesRelayed": PromotionStatesRelayed("i1", 1, 1.5, (STATE,)),
    "PromotionAnnounced": PromotionAnnounced(3, STATE),
    "PromotionAnnouncementReceived": PromotionAnnouncementReceived(3, "i1"),
}


@when('"{names}" are sent to the earlier version')
def sent_to_earlier(context: Context, names: str) -> None:
    """Decode the datagrams with the kinds that the earlier version knows."""
    earlier = {
        kind: type
        for kind, type in peer_datagrams.TYPE_BY_KIND.items()
        if kind <= EARLIER_KIND
    }
    messages = [PROMOTION_DATAGRAM_BY_NAME[name] for name in names.split(",")]
    datagrams = [encode_datagram(message) for message in messages]
    assert [decode_datagram(data) for data in datagrams] == messages
    with mock.patch.object(peer_datagrams, "TYPE_BY_KIND", earlier):
        context.decoded = [decode_datagram(data) for data in datagrams]


@then("it ignores them")
def ignores_them(context: Context) -> None:
    """Check that there are no messages."""
    assert context.decoded == [None] * 3, context.decoded


@given("a configuration with a group that has {count:d} synchronous replicas")
def configured_replicas(context: Context, count: int) -> None:
    """Decode a configuration."""
    document = initial_configuration()
    document["Services"][0]["SyncReplicas"] = count
    context.configuration = decode_configuration(encode_json(document))
    changes = configuration_changes(EMPTY_CONFIGURATION, context.configuration)
    context.changes, context.copy = changes, encode_changes(changes)


def _earlier_groups(groups: dict) -> dict:
    return {name: group[:EARLIER_GROUP_FIELDS] for name, group in groups.items()}


@then("the earlier version reads a copy of it, with the same revision")
def earlier_reads(context: Context) -> None:
    """Decode the copy and compute the revision as the earlier version does."""
    decompressor = decompressobj()
    fields = decode(decompressor.decompress(context.copy))
    assert decompressor.eof
    groups = _earlier_groups(context.configuration.group_by_name)
    earlier = context.changes._replace(group_by_name=groups)
    assert fields == decode(encode(earlier)), fields
    content = encode(
        context.configuration._replace(group_by_name=groups), order="deterministic"
    )
    revision = configuration_revision(context.configuration)
    assert revision.checksum == crc32(content), revision


@then("this version reads {count:d} synchronous replicas from the copy")
def reads_replicas(context: Context, count: int) -> None:
    """Decode the copy."""
    configuration = apply_changes(EMPTY_CONFIGURATION, decode_changes(context.copy))
    assert configuration.group_by_name[GROUP].sync_replicas == count
    assert configuration == context.configuration


@then(
    "this version reads {count:d} synchronous replicas from a copy of the earlier "
    "version"
)
def reads_earlier(context: Context, count: int) -> None:
    """Decode a copy without the numbers."""
    groups = _earlier_groups(context.changes.group_by_name)
    earlier = compress(encode(context.changes._replace(group_by_name=groups)))
    changes = decode_changes(earlier)
    assert changes.group_by_name[GROUP].sync_replicas == count
