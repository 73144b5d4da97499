"""Limits of a workspace after the head office's rules."""

from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.limit_document import LimitDocument


def effective_limits(document: ConfigurationDocument, workspace: str) -> LimitDocument:
    """Return a workspace's overrides, or the defaults, clamped to the bounds.

    An override was within the bounds when it was set. If the bounds are narrowed
    later and exclude it, the nearest bound applies.
    """
    rules = document["head_office"]
    stored = document["workspace_by_name"].get(workspace)
    requested = {**rules["default"], **(stored["overrides"] if stored else {})}
    low, high = dict(rules["lowest"]), dict(rules["highest"])
    clamped = {
        name: _clamp(value, low.get(name), high.get(name))
        for name, value in requested.items()
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
