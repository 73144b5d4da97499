"""Success of a statement."""

from typing import NamedTuple


class StatementSuccess(NamedTuple):
    """Rows of a statement and the signature of the member that ran it.

    ``signature`` is empty for a statement that the proxy answered itself.
    """

    rows: tuple[str, ...] = ()
    signature: str = ""
