"""Writes of the configuration document."""

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep
from jackdawspread.decisions.control.platform_writes import (
    ABSENT,
    next_write_id,
    start_write,
)
from jackdawspread.messages.configuration_document import ConfigurationDocument

KEY = "configuration"
RECENT_WRITES = 32


def is_configuration_row_current(state: ControlState) -> bool:
    """Whether the row read last holds the newest document that is known.

    A document that a peer pushed comes without the version of its row.
    """
    row = state.row_by_key.get(KEY, ABSENT)
    return bool(row.value.get("version", 0) == state.configuration["version"])


def is_configuration_write_pending(state: ControlState) -> bool:
    """Whether a write of this instance that changes the document is unresolved."""
    return any(
        key == KEY or KEY in write.other_values
        for key, write in state.write_by_key.items()
    )


def next_version(
    state: ControlState, document: ConfigurationDocument
) -> ConfigurationDocument:
    """Return a document as the version after the newest one known."""
    write_id = next_write_id(state)
    recent = [*state.configuration.get("recent_write_ids", []), write_id]
    return ConfigurationDocument(
        **{
            **document,
            "version": state.configuration["version"] + 1,
            "write_id": write_id,
            "recent_write_ids": recent[-RECENT_WRITES:],
        }
    )


def store(
    state: ControlState,
    document: ConfigurationDocument,
    now: float,
    admin_request_id: str = "",
    is_view_expected: bool = False,
) -> ControlStep:
    """Write a document, if asked to only while the view is the newest one known."""
    value = dict(next_version(state, document))
    others = ("view",) if is_view_expected else ()
    return start_write(state, KEY, value, now, admin_request_id, others)
