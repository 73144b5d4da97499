"""Selects the log lines that explain a request."""

from collections.abc import Iterable

from jackdawspread.logs.log_line import LogLine

# A change of state at most this long before a decision may have caused it.
STATE_CHANGE_WINDOW_S = 3.0
STATE_CHANGE_PREFIXES = (
    "store: ",
    "admission: configuration",
    "router: primary changed",
    "router: member unreachable",
    "router: members changed",
    "router: term changed",
    "router: acknowledged commits missing",
    "succession: ",
    "readiness: ",
    "instance: ",
    "settings: ",
)


def select_request_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines about a request, with the changes of state before them.

    The clocks of instances differ, so a change of state is selected only from the
    log of the instance that made the decision.
    """
    sorted_lines = sorted(lines)
    field = f" id={request_id} "
    decisions = [line for line in sorted_lines if field in f"{line.text} "]
    return [
        line
        for line in sorted_lines
        if line in decisions
        or (
            line.text.startswith(STATE_CHANGE_PREFIXES)
            and any(
                line.source == decision.source
                and 0 <= decision.at - line.at <= STATE_CHANGE_WINDOW_S
                for decision in decisions
            )
        )
    ]
