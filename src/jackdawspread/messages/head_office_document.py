"""Rules of the head office as stored in the configuration."""

from typing import TypedDict

from jackdawspread.messages.limit_document import LimitDocument


class HeadOfficeDocument(TypedDict):
    """Default limits, and the range within which a branch may override them."""

    default: LimitDocument
    lowest: LimitDocument
    highest: LimitDocument
