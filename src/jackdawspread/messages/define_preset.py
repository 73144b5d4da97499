"""Definition of a preset."""

from typing import NamedTuple

from jackdawspread.messages.preset_document import PresetDocument


class DefinePreset(NamedTuple):
    """Adds a preset or replaces its values."""

    name: str
    preset: PresetDocument
