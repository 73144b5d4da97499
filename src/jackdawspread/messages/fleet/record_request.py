"""Calls that a task makes to its records in the platform's store."""

from jackdawspread.messages.fleet.epoch_read import EpochRead
from jackdawspread.messages.fleet.record_list import RecordList
from jackdawspread.messages.fleet.record_put import RecordPut
from jackdawspread.messages.fleet.record_read import RecordRead
from jackdawspread.messages.fleet.record_removal import RecordRemoval
from jackdawspread.messages.fleet.record_write import RecordWrite

RecordRequest = (
    EpochRead | RecordList | RecordPut | RecordRead | RecordRemoval | RecordWrite
)
