"""JSON body of a change of a workspace's limits."""

from typing import NotRequired

from jackdawspread.codecs.change_body import ChangeBody


class LimitsBody(ChangeBody):
    """Body of a change of a workspace's limits."""

    rate: NotRequired[float]
    burst: NotRequired[int]
    weight: NotRequired[float]
