"""Configuration document that all instances share."""

from typing import NotRequired, TypedDict

from jackdawspread.messages.head_office_document import HeadOfficeDocument
from jackdawspread.messages.key_document import KeyDocument
from jackdawspread.messages.preset_document import PresetDocument
from jackdawspread.messages.workspace_document import WorkspaceDocument


class ConfigurationDocument(TypedDict):
    """All settings that operators change, with the selected preset.

    ``key_by_id`` is keyed by the SHA-256 of the key in hexadecimal. ``version`` only
    increases, and ``write_id`` names the write that made this version.
    ``recent_write_ids`` holds the ids of the last writes. A writer whose answer was
    lost finds its write there even after later versions have been stored.
    """

    version: int
    write_id: str
    preset: str
    preset_by_name: dict[str, PresetDocument]
    head_office: HeadOfficeDocument
    workspace_by_name: dict[str, WorkspaceDocument]
    key_by_id: dict[str, KeyDocument]
    leaving_databases: list[str]
    recent_write_ids: NotRequired[list[str]]
