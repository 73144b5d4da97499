"""Record of a request id."""

from typing import NamedTuple

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.result_document import ResultDocument


class RecordedRequest(NamedTuple):
    """Digest, results and position of the transaction that ran under an id."""

    digest: str
    results: tuple[ResultDocument, ...]
    position: Position
