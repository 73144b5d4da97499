"""Operators' requests to evacuate failure domains."""

from collections.abc import Collection, Mapping

from absl import logging

from jackdawspread.decisions.evacuations.evacuated_members import work_until
from jackdawspread.decisions.evacuations.evacuation_updates import update_evacuations
from jackdawspread.decisions.evacuations.held_evacuations import HeldEvacuations
from jackdawspread.messages.fleet.evacuations_seen import EvacuationsSeen
from jackdawspread.tasks.fleet.fleet_metrics import EVACUATED_DOMAINS


class EvacuationTracker:
    """Tracks the evacuated failure domains; only the configuration keeper uses it.

    Parameters
    ----------
    domains : collection of str
        All failure domains.
    evacuation_s : float
        Seconds after which an evacuated failure domain receives no more work.
    max_age_s : float
        Seconds for which known requests outlive a restore of the store.
    """

    def __init__(
        self, domains: Collection[str], evacuation_s: float, max_age_s: float
    ) -> None:
        self._domains = domains
        self._evacuation_s = evacuation_s
        self._max_age_s = max_age_s
        self._held = HeldEvacuations()
        self._ignored: set[str] = set()

    @property
    def domains(self) -> tuple[str, ...]:
        """Evacuated failure domains in ascending order."""
        return self._held.domains

    @property
    def version_by_domain(self) -> dict[str, int]:
        """Versions of the requests by failure domain."""
        return dict(self._held.version_by_domain)

    def update(
        self,
        requested: Mapping[str, int | None],
        is_complete: bool,
        epoch: int,
        begun_at: float,
        now: float,
    ) -> EvacuationsSeen | None:
        """Apply requests; return the evacuations if they have changed.

        Parameters
        ----------
        requested : mapping
            Versions of all requests by failure domain, or of those that have changed;
            None for one that was taken back.
        is_complete : bool
            Whether these are all requests.
        epoch : int
            Epoch of the store.
        begun_at : float
            Boot-clock time in seconds at which a request that was not known may have
            been accepted at the earliest.
        now : float
            Boot-clock time in seconds.
        """
        versions = {} if is_complete else dict(self._held.version_by_domain)
        for domain, version in requested.items():
            if not self._is_known(domain):
                continue
            if version is None:
                versions.pop(domain, None)
            else:
                versions[domain] = version
        before = self._held
        self._held = update_evacuations(
            before, versions, epoch, begun_at, now, self._max_age_s
        )
        if self._held.domains == before.domains:
            return None
        return self._report(before.domains)

    def _is_known(self, domain: str) -> bool:
        if domain in self._domains:
            return True
        if domain not in self._ignored:
            self._ignored.add(domain)
            logging.error(
                "evacuation: ignored, no such failure domain name=%r", domain[:80]
            )
        return False

    def _report(self, before: tuple[str, ...]) -> EvacuationsSeen:
        for domain in self._held.domains:
            if domain not in before:
                logging.info(
                    "evacuation: begun failure_domain=%s reason=%r",
                    domain,
                    "requested by the operator",
                )
        for domain in before:
            if domain not in self._held.domains:
                logging.info(
                    "evacuation: ended failure_domain=%s reason=%r",
                    domain,
                    "taken back by the operator",
                )
        EVACUATED_DOMAINS.set(len(self._held.domains))
        return EvacuationsSeen(
            {
                domain: work_until(begun_at, self._evacuation_s)
                for domain, begun_at in self._held.begun_at_by_domain.items()
            }
        )
