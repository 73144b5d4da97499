"""Checks of limits against the head office's bounds."""

from math import isfinite

from jackdawspread.messages.head_office_document import HeadOfficeDocument
from jackdawspread.messages.limit_document import LimitDocument

NAMES = ("rate", "burst", "weight")


def bounds_error(limits: LimitDocument, rules: HeadOfficeDocument) -> str:
    """Return a sentence that names the bound that the limits violate, or ``""``."""
    values = dict(limits)
    low, high = dict(rules["lowest"]), dict(rules["highest"])
    for name in NAMES:
        value, least, most = values.get(name), low.get(name), high.get(name)
        if not isinstance(value, int | float):
            continue
        if isinstance(least, int | float) and value < least:
            bound = f"the head office's lowest {name} of {least}"
            return f"{name} {value} is below {bound}"
        if isinstance(most, int | float) and value > most:
            bound = f"the head office's highest {name} of {most}"
            return f"{name} {value} is above {bound}"
    return ""


def limit_error(limits: LimitDocument) -> str:
    """Return a sentence about a limit with an invalid value, or ``""``."""
    for name, value in dict(limits).items():
        if not isinstance(value, int | float) or not isfinite(value) or value <= 0:
            return f"{name} must be a finite number above 0, not {value}"
    return ""


def rules_error(rules: HeadOfficeDocument) -> str:
    """Return a sentence about invalid or contradictory rules, or ``""``."""
    for limits in (rules["default"], rules["lowest"], rules["highest"]):
        problem = limit_error(limits)
        if problem:
            return problem
    problem = bounds_error(rules["default"], rules)
    if problem:
        return f"the default {problem}"
    inverted = bounds_error(rules["lowest"], {**rules, "lowest": {}})
    return f"the lowest {inverted}" if inverted else ""
