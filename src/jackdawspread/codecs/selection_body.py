"""JSON body of the selection of a preset."""

from jackdawspread.codecs.change_body import ChangeBody


class SelectionBody(ChangeBody):
    """Body of the selection of a preset."""

    name: str
