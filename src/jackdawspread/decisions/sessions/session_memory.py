"""Memory that the values and prepared statements of a session take.

A client can set as many values as it likes, and every one is kept until its session
ends. The limits are far above what a connection pool or a driver sets.
"""

from collections.abc import Iterable

from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.messages.fleet.connection_context import ConnectionContext

MAX_ENTRIES = 1000
MAX_STATE_BYTES = 4 * 1024 * 1024
# Memory of one entry beside its texts.
ENTRY_BYTES = 300
# A pooled connection keeps what was set on it for its next use. One with more than
# this is closed instead.
MAX_POOLED_BYTES = 64 * 1024


def session_state_bytes(state: SessionState) -> int:
    """Return the memory of a session's values and prepared statements."""
    templates = ((n, text) for n, (_, text) in state.template_by_name.items())
    return _entry_bytes(state.value_by_name.items()) + _entry_bytes(templates)


def exceeds_session_limits(state: SessionState) -> bool:
    """Whether a session has more values and prepared statements than allowed."""
    entries = len(state.value_by_name) + len(state.template_by_name)
    return entries > MAX_ENTRIES or session_state_bytes(state) > MAX_STATE_BYTES


def may_pool(context: ConnectionContext) -> bool:
    """Whether a connection may be kept with what is set on it."""
    templates = (("", text) for _, text in context.templates)
    values = _entry_bytes(context.value_by_name.items())
    return values + _entry_bytes(templates) <= MAX_POOLED_BYTES


def _entry_bytes(entries: Iterable[tuple[str, str]]) -> int:
    return sum(ENTRY_BYTES + len(name) + len(text) for name, text in entries)
