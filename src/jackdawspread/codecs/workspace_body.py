"""JSON body of the creation of a workspace."""

from typing import NotRequired

from jackdawspread.codecs.change_body import ChangeBody


class WorkspaceBody(ChangeBody):
    """Body of the creation of a workspace."""

    name: str
    databases: NotRequired[list[str]]
    rate: NotRequired[float]
    burst: NotRequired[int]
    weight: NotRequired[float]
