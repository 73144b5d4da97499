"""Fake client of the platform's store that gives prepared answers."""

from base64 import b64encode
from collections.abc import Iterable
from typing import Any

from jackdawspread.messages.http_outcome import HttpOutcome

VALUE = b"[1.5]"
EPOCH = "3"


def decode_row(text: str) -> dict[str, Any]:
    """Return the row that a text like ``KEY@VERSION`` describes.

    The version may be ``odd``, and followed by ``-removed``.
    """
    key, _, version = text.partition("@")
    number, _, removed = version.partition("-")
    row: dict[str, Any] = {"Key": key} if version else {}
    row["Ver"] = int(number) if number.isdigit() else "odd"
    if removed:
        row["Tombstone"] = True
    elif row["Ver"]:
        row["Value"] = b64encode(VALUE).decode()
    return row


class PagedStore:
    """Answers each call with the next page.

    Parameters
    ----------
    pages : iterable of str
        Rows of each page, separated by blanks.
    """

    def __init__(self, pages: Iterable[str]) -> None:
        self._pages = list(pages)

    async def call(
        self, method: str, target: str, body: object, deadline: float
    ) -> HttpOutcome:
        """Return the next page."""
        rows = [decode_row(text) for text in self._pages.pop(0).split()]
        answer = {"rows": rows, "HasMore": bool(self._pages), "Ver": 9, "NowMs": 1000}
        return HttpOutcome(1, 1, 200, answer, True, headers={"store-era": EPOCH})
