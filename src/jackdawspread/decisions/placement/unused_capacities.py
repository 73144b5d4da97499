"""Finds the stored capacities of instances that no longer exist."""

from collections.abc import Collection


def unused_capacities(
    stored: Collection[str],
    listed: Collection[str],
    unlisted_before: Collection[str],
    instance: str,
) -> tuple[frozenset[str], frozenset[str]]:
    """Return the instances whose records to remove, and those that are not listed.

    One instance removes them, that with the smallest id, and only those that two reads
    have found without an entry: a new instance may write its capacity first.

    Parameters
    ----------
    stored, listed : collection of str
        Instances with a stored capacity, and those in the list of instances.
    unlisted_before : collection of str
        Instances that the previous read found without an entry.
    instance : str
        Id of this instance.
    """
    unlisted = frozenset(stored) - frozenset(listed)
    removes = bool(listed) and instance == min(listed)
    removable = unlisted & frozenset(unlisted_before) if removes else frozenset()
    return removable, unlisted
