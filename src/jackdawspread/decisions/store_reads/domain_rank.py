"""Order of the instances of a failure domain in reading the store."""

from collections.abc import Mapping

from jackdawspread.messages.fleet.instance_entry import InstanceEntry

# The delays of instances after this one do not grow. It is also the rank of an instance
# that does not know the others yet: instances that start together then read once each.
MAX_RANK = 8


def rank_in_domain(
    instance: str, failure_domain: str, entry_by_instance: Mapping[str, InstanceEntry]
) -> int:
    """Return how many instances of a failure domain have a smaller id."""
    return sum(
        entry.failure_domain == failure_domain and other < instance
        for other, entry in entry_by_instance.items()
    )
