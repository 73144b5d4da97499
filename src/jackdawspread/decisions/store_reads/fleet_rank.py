"""Order of all instances in reading what one of them reads for the whole fleet."""

from collections.abc import Mapping

from jackdawspread.decisions.store_reads.domain_rank import rank_in_domain
from jackdawspread.messages.fleet.instance_entry import InstanceEntry


def rank_in_fleet(
    instance: str, failure_domain: str, entry_by_instance: Mapping[str, InstanceEntry]
) -> int:
    """Return how many instances are before this one.

    The first instances of all failure domains come first, then the second ones, so that
    a failure domain that is cut off has an instance that soon reads for it.
    """

    def position(name: str, domain: str) -> tuple[int, str]:
        return rank_in_domain(name, domain, entry_by_instance), domain

    own = position(instance, failure_domain)
    return sum(
        position(name, entry.failure_domain) < own
        for name, entry in entry_by_instance.items()
    )
