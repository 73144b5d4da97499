"""Options that the operators' commands share."""

from enum import StrEnum
from typing import Annotated

from typer import Option


class OutputFormat(StrEnum):
    """Format of what a command prints."""

    TABLE = "table"
    JSON = "json"


Admin = Annotated[
    str,
    Option(
        "--admin",
        envvar="JACKDAWSPREAD_ADMIN",
        help="Administration address of any instance, IP:port.",
    ),
]
Credential = Annotated[
    str,
    Option(
        "--credential",
        envvar="JACKDAWSPREAD_CREDENTIAL",
        help="Operator credential; prefer the environment variable, because "
        "other users of the machine can see options.",
    ),
]
Output = Annotated[OutputFormat, Option("--output", help="Format of the output.")]
Rate = Annotated[float | None, Option(help="Requests per second, over all instances.")]
Burst = Annotated[int | None, Option(help="Requests that may come at once.")]
Weight = Annotated[
    float | None, Option(help="Share of a busy database, against the others.")
]
ExpectedVersion = Annotated[
    int,
    Option(
        "--expected-version",
        min=0,
        help="Make the change only if this is still the configuration's version; "
        "0 means the newest one.",
    ),
]


def given_limits(
    rate: float | None, burst: int | None, weight: float | None
) -> dict[str, object]:
    """Return the limits that were given on the command line."""
    limits = {"rate": rate, "burst": burst, "weight": weight}
    return {name: value for name, value in limits.items() if value is not None}
