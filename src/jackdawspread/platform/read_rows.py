"""Reads a range of rows of the platform's store, page by page."""

from collections.abc import Callable
from urllib.parse import quote

from trio import current_time

from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.store_rows import StoreRow, last_key, present_rows
from jackdawspread.tasks.http_client import HttpClient

PAGE_ROWS = 500
# A later page that fails is read once more, and the pages before it are kept.
LATER_PAGE_ATTEMPTS = 2
OK = 200


async def read_rows(
    client: HttpClient,
    table: str,
    prefix: str,
    page_timeout_s: float,
    report: Callable[[HttpOutcome], None],
    last_prefix: str = "",
) -> list[StoreRow] | None:
    """Return the rows whose keys begin with ``prefix``, or None if a call failed.

    Parameters
    ----------
    client : HttpClient
        Client of the store.
    table : str
        Table of the rows.
    prefix : str
        Beginning of the keys; all rows of the table if it is empty.
    page_timeout_s : float
        Seconds until which the answer with each page must have begun.
    report : callable
        Called with the outcome of each call.
    last_prefix : str
        Beginning of the last keys, if rows of several prefixes are read together.
    """
    rows: list[StoreRow] = []
    # "~" is greater than all characters in the names of records.
    end = f"&To={quote(last_prefix or prefix)}~" if prefix else ""
    start = f"&From={quote(prefix)}" if prefix else ""
    failures = 0
    while True:
        target = f"/rows-get?Table={table}&part=&Limit={PAGE_ROWS}{start}{end}"
        deadline = current_time() + page_timeout_s
        outcome = await client.call("GET", target, {}, deadline)
        report(outcome)
        if outcome.status != OK:
            failures += 1
            if not rows or failures == LATER_PAGE_ATTEMPTS:
                return None
            continue
        failures = 0
        rows += present_rows(outcome.body)
        if not outcome.body.get("HasMore"):
            return rows
        key = last_key(outcome.body)
        if key is None:
            # The rows after this page can't be read.
            return None
        start = f"&From={quote(key)}%00"
