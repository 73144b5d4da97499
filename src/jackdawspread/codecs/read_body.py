"""JSON body of a read."""

from typing import NotRequired

from jackdawspread.codecs.statement_body import Integer, StatementBody


class ReadBody(StatementBody):
    """Statement of a read, with the requested page of rows."""

    page_rows: NotRequired[Integer]
    offset: NotRequired[Integer]
