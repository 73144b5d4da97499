"""Decoding of the entries of the registered instances."""

from absl import logging

from jackdawspread.codecs.network_address import parse_address
from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.stored_record import StoredRecord

# Prefix of the names of the records, which is followed by the id of the instance.
INSTANCE_PREFIX = "instance-"


def decode_instance_entry(record: StoredRecord) -> InstanceEntry | None:
    """Return the entry of an instance, None if it is unreadable."""
    try:
        entry = decode_stored(record.value, InstanceEntry)
        parse_address(entry.address)
        return entry
    except ValueError as error:
        logging.error("instance: entry ignored name=%s reason=%r", record.name, error)
        return None
