"""Command that shows the log lines that explain a request."""

from pathlib import Path
from typing import Annotated

from typer import Argument, Exit, echo

from jackdawspread.logs.log_line import parse_line
from jackdawspread.logs.request_lines import select_request_lines

EXIT_NOT_FOUND = 1


def explain(
    request_id: Annotated[str, Argument(help="Id of the request.")],
    logs: Annotated[list[Path], Argument(help="Log files of the instances.")],
) -> None:
    """Print the log lines about a request and the state changes that led to them."""
    parsed = (
        parse_line(line, path.name)
        for path in logs
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
    )
    lines = select_request_lines(
        (line for line in parsed if line is not None), request_id
    )
    if not any(f" id={request_id} " in f"{line.text} " for line in lines):
        echo(f"no log names the request {request_id}", err=True)
        raise Exit(EXIT_NOT_FOUND)
    started_at = lines[0].at
    for line in lines:
        echo(f"{line.at - started_at:8.3f} s  {line.source}  {line.text}")
