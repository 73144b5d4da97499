"""Change of the head office's rules."""

from typing import NamedTuple

from jackdawspread.messages.limit_document import LimitDocument


class SetHeadOffice(NamedTuple):
    """Sets the given default limits and bounds and keeps the others."""

    default: LimitDocument
    lowest: LimitDocument
    highest: LimitDocument
