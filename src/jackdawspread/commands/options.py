"""Options shared by the operators' commands."""

from enum import StrEnum
from typing import Annotated

from typer import Option


class OutputFormat(StrEnum):
    """Format of the output of a command."""

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
Rate = Annotated[
    float | None, Option(help="Requests per second, summed over all instances.")
]
Burst = Annotated[int | None, Option(help="Requests accepted at once.")]
Weight = Annotated[
    float | None, Option(help="Weight in the division of a busy database.")
]
ExpectedVersion = Annotated[
    int,
    Option(
        "--expected-version",
        min=0,
        help="Make the change only if the configuration still has this version; "
        "0 applies it to the latest version.",
    ),
]


def given_limits(
    rate: float | None, burst: int | None, weight: float | None
) -> dict[str, object]:
    """Return the limits given on the command line, by name."""
    limits = {"rate": rate, "burst": burst, "weight": weight}
    return {name: value for name, value in limits.items() if value is not None}
