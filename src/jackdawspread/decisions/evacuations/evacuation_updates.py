"""Updates of the known evacuations from the rows of the store."""

from collections.abc import Mapping

from jackdawspread.decisions.evacuations.held_evacuations import HeldEvacuations


def update_evacuations(
    held: HeldEvacuations,
    version_by_domain: Mapping[str, int],
    epoch: int,
    begun_at: float,
    now: float,
    max_age_s: float,
) -> HeldEvacuations:
    """Return the evacuations after the requests in the store were read.

    A restored store lacks the newest requests and has some that were taken back. What
    was known stays in force until the operator has written a request again, or until
    the copy is so old that no write can still be pending.

    Parameters
    ----------
    held : HeldEvacuations
        Evacuations known so far.
    version_by_domain : mapping
        Versions of all rows that request an evacuation.
    epoch : int
        Epoch of the store.
    begun_at : float
        Boot-clock time in seconds at which a new request may have been accepted at the
        earliest; -inf if it is not known.
    now : float
        Boot-clock time in seconds.
    max_age_s : float
        Seconds for which known requests outlive a restore of the store.
    """
    listed = dict(version_by_domain)
    if held.epoch and epoch > held.epoch:
        return HeldEvacuations(
            listed, held.begun_at_by_domain, epoch, copy_ignored_until=now + max_age_s
        )
    domains = listed.keys() | held.begun_at_by_domain.keys()
    if now < held.copy_ignored_until:
        domains = _changed(held.version_by_domain, listed)
    begun_at_by_domain = dict(held.begun_at_by_domain)
    for domain in domains:
        if domain in listed:
            begun_at_by_domain.setdefault(domain, begun_at)
        else:
            begun_at_by_domain.pop(domain, None)
    return HeldEvacuations(listed, begun_at_by_domain, epoch, held.copy_ignored_until)


def _changed(before: Mapping[str, int], after: Mapping[str, int]) -> set[str]:
    return {
        domain
        for domain in before.keys() | after.keys()
        if before.get(domain) != after.get(domain)
    }
