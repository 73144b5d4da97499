"""Pages of a complete read of the table with the configuration."""

from urllib.parse import quote

from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.store_rows import last_key


class ConfigurationPages:
    """Joins the pages of a read; the store ends a page after some rows or bytes.

    Only the configuration reader uses it.

    Parameters
    ----------
    target : str
        Path and query of the first page.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._pages: list[HttpOutcome] = []

    @property
    def are_begun(self) -> bool:
        """Whether a page has arrived, and not the last one."""
        return bool(self._pages)

    @property
    def next_target(self) -> str:
        """Path and query of the next page."""
        key = last_key(self._pages[-1].body) if self._pages else None
        return self._target if key is None else f"{self._target}&From={quote(key)}%00"

    def add(self, page: HttpOutcome) -> HttpOutcome | None:
        """Add a page; return all rows after the last one.

        The result has the versions and times of the first page. A row of it may have
        changed before the others were read, so that changes count from then.
        """
        self._pages.append(page)
        if page.body.get("HasMore") and last_key(page.body) is not None:
            return None
        first = self._pages[0]
        rows = [row for each in self._pages for row in each.body.get("rows") or ()]
        self.clear()
        return first._replace(body={**first.body, "rows": rows})

    def clear(self) -> None:
        """Begin anew with the first page."""
        self._pages = []
