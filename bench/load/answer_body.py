"""Parts of a caller's answer that the bench reads."""

from typing import Any, NotRequired, TypedDict


class AnswerResult(TypedDict):
    """Result of one statement."""

    rows: NotRequired[list[list[Any]]]
    changes: NotRequired[int]


class AnswerBody(TypedDict):
    """Body of an answer or of a refusal."""

    results: NotRequired[list[AnswerResult]]
    role: NotRequired[str]
    code: NotRequired[str]
    ran: NotRequired[str]
