"""Times at which the members of evacuated failure domains are cut off."""

from math import inf

from jackdawspread.messages.fleet.evacuations_seen import EvacuationsSeen


class EvacuationSchedule:
    """Keeps the evacuated failure domains; only the member router uses it."""

    def __init__(self) -> None:
        # Monotonic times until which the members of a domain may get work.
        self.work_until_by_domain: dict[str, float] = {}
        self._cut_off: set[str] = set()

    def update(self, event: EvacuationsSeen, now: float, now_since_boot: float) -> None:
        """Apply the evacuations; ``now`` is a monotonic time."""
        self.work_until_by_domain = {
            domain: now + until - now_since_boot
            for domain, until in event.work_until_by_domain.items()
        }
        self._cut_off &= self.work_until_by_domain.keys()

    @property
    def next_cut_at(self) -> float:
        """Monotonic time at which the next domain is cut off; infinite without one."""
        pending = self.work_until_by_domain.keys() - self._cut_off
        return min(
            (self.work_until_by_domain[domain] for domain in pending), default=inf
        )

    def take_due(self, now: float) -> set[str]:
        """Return the domains whose members get no more work from now on, once each."""
        due = {
            domain
            for domain, until in self.work_until_by_domain.items()
            if until <= now and domain not in self._cut_off
        }
        self._cut_off |= due
        return due
