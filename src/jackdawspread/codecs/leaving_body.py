"""JSON of a change of a database's leaving mark."""

from jackdawspread.codecs.change_body import ChangeBody


class LeavingBody(ChangeBody):
    """Body of a change of a database's leaving mark."""

    leaving: bool
