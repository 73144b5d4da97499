"""JSON body of a change of a database's leaving flag."""

from jackdawspread.codecs.change_body import ChangeBody


class LeavingBody(ChangeBody):
    """Body of a change of a database's leaving flag."""

    leaving: bool
