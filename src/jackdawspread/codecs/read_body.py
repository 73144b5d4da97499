"""JSON of a read."""

from typing import NotRequired

from jackdawspread.codecs.statement_body import Integer, StatementBody


class ReadBody(StatementBody):
    """Statement of a read with the page that is wanted."""

    page_rows: NotRequired[Integer]
    offset: NotRequired[Integer]
