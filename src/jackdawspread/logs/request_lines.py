"""Lines that explain a request."""

from collections.abc import Iterable

from jackdawspread.logs.log_line import LogLine

# Changes of belief this long before a decision may have led to it.
LEAD_S = 3.0
BELIEFS = (
    "store: ",
    "admission: configuration",
    "router: primary changed",
    "router: member unreachable",
    "succession: ",
    "readiness: ",
    "instance: ",
    "settings: ",
)


def select_request_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about a request, with the changes of belief before them.

    Clocks of instances differ, so a change of belief counts only in the log of the
    instance that made the decision.
    """
    every = sorted(lines)
    field = f" id={request_id} "
    own = [line for line in every if field in f"{line.text} "]
    return [
        line
        for line in every
        if line in own
        or (
            line.text.startswith(BELIEFS)
            and any(
                line.source == decision.source and 0 <= decision.at - line.at <= LEAD_S
                for decision in own
            )
        )
    ]
