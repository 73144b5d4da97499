"""JSON of a change of limits."""

from typing import NotRequired

from jackdawspread.codecs.change_body import ChangeBody


class LimitsBody(ChangeBody):
    """Body of a change of limits."""

    rate: NotRequired[float]
    burst: NotRequired[int]
    weight: NotRequired[float]
