"""JSON body of the definition of a preset."""

from jackdawspread.codecs.change_body import ChangeBody
from jackdawspread.messages.preset_document import PresetDocument


class PresetBody(ChangeBody):
    """Body of the definition of a preset."""

    preset: PresetDocument
