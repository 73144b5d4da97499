"""JSON body of a change of the head office's rules."""

from typing import NotRequired

from jackdawspread.codecs.change_body import ChangeBody
from jackdawspread.messages.limit_document import LimitDocument


class HeadOfficeBody(ChangeBody):
    """Body of a change of the head office's rules."""

    default: NotRequired[LimitDocument]
    lowest: NotRequired[LimitDocument]
    highest: NotRequired[LimitDocument]
