"""Prints the answers and refusals of an instance."""

from typing import Any

from msgspec import json
from typer import echo

from jackdawspread.commands.options import OutputFormat

Body = dict[str, Any]


def print_body(body: Body, output: OutputFormat) -> None:
    """Print an answer as JSON or as a table of names and values."""
    if output is OutputFormat.JSON:
        echo(json.format(json.encode(body), indent=2).decode())
        return
    rows = flatten("", body)
    width = max((len(name) for name, _ in rows), default=0)
    for name, value in rows:
        echo(f"{name.ljust(width)}  {value}".rstrip())


def print_refusal(body: Body, output: OutputFormat) -> None:
    """Print a refusal, and how the two versions differ after a version conflict."""
    if output is OutputFormat.JSON:
        echo(json.format(json.encode(body), indent=2).decode(), err=True)
        return
    where = f" at {body['peer']}" if body.get("peer") else ""
    ran = body.get("ran", "unknown")
    echo(f"{body.get('code')}: {body.get('detail')} ({ran}{where})", err=True)
    if "yours" in body:
        _print_differences(body["yours"], body["current"])


def _print_differences(requested: Body, current: Body) -> None:
    requested_values, current_values = (
        dict(flatten("", requested)),
        dict(flatten("", current)),
    )
    for name in sorted(requested_values.keys() | current_values.keys()):
        if not name.startswith("recent_write_ids") and (
            requested_values.get(name) != current_values.get(name)
        ):
            values = (
                f"yours={requested_values.get(name, '-')} "
                f"current={current_values.get(name, '-')}"
            )
            echo(f"  {name}: {values}", err=True)


def flatten(prefix: str, value: Any) -> list[tuple[str, str]]:
    """Return the leaf values of a document, each with its dotted path."""
    if isinstance(value, dict) and value:
        pairs = [(f"{prefix}.{name}".lstrip("."), part) for name, part in value.items()]
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        pairs = [(f"{prefix}.{index}", part) for index, part in enumerate(value)]
    elif isinstance(value, list):
        return [(prefix, ", ".join(map(str, value)) or "-")]
    else:
        return [(prefix, "-" if value in ({}, "", None) else str(value))]
    return [leaf for name, part in pairs for leaf in flatten(name, part)]
