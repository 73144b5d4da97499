"""Atomic compare-and-set over several keys."""

from expression import Error, Ok, Result

from jackdawspread.standins.platform.platform_state import PlatformState
from jackdawspread.standins.platform.requests.transact import Transact
from jackdawspread.standins.platform.row import Row

ABSENT = Row(0, None)


def decide_transact(
    state: PlatformState, request: Transact
) -> tuple[PlatformState, Result[dict[str, int], dict[str, Row]]]:
    """Apply all changes, or none if a row does not have its expected version.

    Return the new versions, or the current rows of all expected keys on a conflict.
    """
    rows = {key: state.row_by_key.get(key, ABSENT) for key in request.expect}
    if any(rows[key].version != version for key, version in request.expect.items()):
        return state, Error(rows)
    version = state.last_version + 1
    for key in request.delete:
        state.row_by_key.pop(key, None)
    for key, value in request.put.items():
        state.row_by_key[key] = Row(version, value)
    changed = {
        **dict.fromkeys(request.delete, 0),
        **dict.fromkeys(request.put, version),
    }
    return state._replace(last_version=version), Ok(changed)
