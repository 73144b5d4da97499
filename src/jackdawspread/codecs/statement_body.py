"""JSON body of one statement."""

from typing import Annotated, NotRequired, TypedDict

from msgspec import Meta

# Numbers out of this range fit neither the frames between instances nor a database.
Integer = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
BodyScalar = str | Integer | float | bool | None


class StatementBody(TypedDict):
    """SQL text with its positional parameters."""

    sql: str
    parameters: NotRequired[list[BodyScalar]]
