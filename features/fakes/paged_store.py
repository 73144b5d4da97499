"""Fake client of the platform's store that gives prepared answers."""

from base64 import b64encode
from collections.abc import Iterable
from typing import Any

from trio import sleep_forever

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
        Rows of each page, separated by blanks. ``epoch=N`` sets the epoch from the page
        on, ``end`` the last page of a read.
    """

    # Nobody ends a call.
    is_receiving = True

    def __init__(self, pages: Iterable[str]) -> None:
        self._pages = list(pages)
        self._epoch = EPOCH
        self.targets: list[str] = []

    async def call(
        self, method: str, target: str, body: object, deadline: float
    ) -> HttpOutcome:
        """Return the next page."""
        self.targets.append(target)
        if not self._pages:
            await sleep_forever()
        texts = self._pages.pop(0).split()
        for text in texts:
            if text.startswith("epoch="):
                self._epoch = text.removeprefix("epoch=")
        rows = [decode_row(text) for text in texts if "=" not in text and text != "end"]
        has_more = bool(self._pages) and "end" not in texts
        answer = {"rows": rows, "HasMore": has_more, "Ver": 9, "NowMs": 1000}
        return HttpOutcome(1, 1, 200, answer, True, headers={"store-era": self._epoch})
