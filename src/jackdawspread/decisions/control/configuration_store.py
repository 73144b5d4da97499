"""Writes of the configuration document to the platform's table."""

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_step import ControlStep
from jackdawspread.decisions.control.platform_writes import (
    ABSENT,
    next_write_id,
    start_write,
)
from jackdawspread.messages.configuration_document import ConfigurationDocument

CONFIGURATION_ROW_KEY = "configuration"
MAX_RECENT_WRITE_IDS = 32


def is_configuration_row_current(state: ControlState) -> bool:
    """Return whether the last row read holds the newest known document.

    A document that a peer pushed arrives without the version of its row.
    """
    row = state.row_by_key.get(CONFIGURATION_ROW_KEY, ABSENT)
    return bool(row.value.get("version", 0) == state.configuration["version"])


def is_configuration_write_pending(state: ControlState) -> bool:
    """Return whether this instance has an unresolved write of the document."""
    return any(
        key == CONFIGURATION_ROW_KEY or CONFIGURATION_ROW_KEY in write.other_values
        for key, write in state.write_by_key.items()
    )


def next_version(
    state: ControlState, document: ConfigurationDocument
) -> ConfigurationDocument:
    """Return the document with the version after the newest known one."""
    write_id = next_write_id(state)
    recent = [*state.configuration.get("recent_write_ids", []), write_id]
    return ConfigurationDocument(
        **{
            **document,
            "version": state.configuration["version"] + 1,
            "write_id": write_id,
            "recent_write_ids": recent[-MAX_RECENT_WRITE_IDS:],
        }
    )


def store_configuration(
    state: ControlState,
    document: ConfigurationDocument,
    now: float,
    admin_request_id: str = "",
    is_view_expected: bool = False,
) -> ControlStep:
    """Write a document; if ``is_view_expected``, only if the view is unchanged."""
    value = dict(next_version(state, document))
    others = ("view",) if is_view_expected else ()
    return start_write(
        state, CONFIGURATION_ROW_KEY, value, now, admin_request_id, others
    )
