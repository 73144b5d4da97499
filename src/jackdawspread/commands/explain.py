"""Command that explains a request from the logs."""

from pathlib import Path
from typing import Annotated

from typer import Argument, Exit, echo

from jackdawspread.logs.log_line import parse_line
from jackdawspread.logs.request_lines import select_request_lines

EXIT_UNKNOWN = 1


def explain(
    request_id: Annotated[str, Argument(help="Id of the request.")],
    logs: Annotated[list[Path], Argument(help="Logs of the instances.")],
) -> None:
    """Print what decided about a request, over the logs of several instances."""
    parsed = (
        parse_line(line, path.name)
        for path in logs
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
    )
    story = select_request_lines(
        (line for line in parsed if line is not None), request_id
    )
    if not any(f" id={request_id} " in f"{line.text} " for line in story):
        echo(f"no log names the request {request_id}", err=True)
        raise Exit(EXIT_UNKNOWN)
    first = story[0].at
    for line in story:
        echo(f"{line.at - first:8.3f} s  {line.source}  {line.text}")
