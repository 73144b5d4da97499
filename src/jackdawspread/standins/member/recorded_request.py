"""Recorded result of a request id."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.result_document import ResultDocument


class RecordedRequest(NamedTuple):
    """Body digest, results and position of the transaction with a request id."""

    digest: str
    results: tuple[ResultDocument, ...]
    position: Position
