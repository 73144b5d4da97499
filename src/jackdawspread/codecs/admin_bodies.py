"""Bodies of the administration API."""

from typing import NotRequired, TypedDict

from jackdawspread.messages.limit_document import LimitDocument
from jackdawspread.messages.preset_document import PresetDocument


class ChangeBody(TypedDict):
    """Fields that every change may carry."""

    expected_version: NotRequired[int]


class WorkspaceBody(ChangeBody):
    """Body of the creation of a workspace."""

    name: str
    databases: NotRequired[list[str]]
    rate: NotRequired[float]
    burst: NotRequired[int]
    weight: NotRequired[float]


class LimitsBody(ChangeBody):
    """Body of a change of limits."""

    rate: NotRequired[float]
    burst: NotRequired[int]
    weight: NotRequired[float]


class HeadOfficeBody(ChangeBody):
    """Body of a change of the head office's rules."""

    default: NotRequired[LimitDocument]
    lowest: NotRequired[LimitDocument]
    highest: NotRequired[LimitDocument]


class PresetBody(ChangeBody):
    """Body of the definition of a preset."""

    preset: PresetDocument


class SelectionBody(ChangeBody):
    """Body of the selection of a preset."""

    name: str


class LeavingBody(ChangeBody):
    """Body of a change of a database's leaving mark."""

    leaving: bool
