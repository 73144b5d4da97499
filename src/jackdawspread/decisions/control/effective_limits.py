"""Limits that apply to a workspace."""

from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.limit_document import LimitDocument


def effective_limits(document: ConfigurationDocument, workspace: str) -> LimitDocument:
    """Return the overrides over the defaults, clamped to the bounds.

    An override that was within the bounds when it was set may lie outside of
    bounds that shrank later; then the nearest bound applies.
    """
    rules = document["head_office"]
    known = document["workspace_by_name"].get(workspace)
    wanted = {**rules["default"], **(known["overrides"] if known else {})}
    low, high = dict(rules["lowest"]), dict(rules["highest"])
    clamped = {
        name: _clamp(value, low.get(name), high.get(name))
        for name, value in wanted.items()
    }
    return LimitDocument(
        rate=float(clamped["rate"]),
        burst=int(clamped["burst"]),
        weight=float(clamped["weight"]),
    )


def _clamp(value: object, low: object, high: object) -> float:
    assert isinstance(value, int | float)
    if isinstance(low, int | float) and value < low:
        return low
    if isinstance(high, int | float) and value > high:
        return high
    return value
