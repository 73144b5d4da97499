"""Failed measurement of the delay to a failure domain."""

from typing import NamedTuple


class CrossingUnmeasured(NamedTuple):
    """Reports that no instance of a failure domain answered the probes."""

    failure_domain: str
