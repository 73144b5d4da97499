"""Digests that other instances have sent."""

from collections.abc import Callable

from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.decisions.store_reads.reader_role import DIGEST_TTL_S
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest

# An instance from which a fetch has failed is not asked again for this long.
FAILED_SOURCE_DELAY_S = 0.5
# An instance of another failure domain is asked for a copy only if none of the own one
# has had it for this long.
CROSSING_DELAY_S = 0.3


class HeardDigests:
    """Keeps the newest digest of each instance for a short time.

    Only the configuration keeper uses it.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._digest_by_instance: dict[str, ConfigurationDigest] = {}
        # Monotonic times in seconds; the first one is when a revision was first heard.
        self._heard_at_by_instance: dict[str, float] = {}
        self._valid_until_by_instance: dict[str, float] = {}
        self._avoided_until_by_instance: dict[str, float] = {}

    def add(self, digest: ConfigurationDigest, now: float) -> None:
        """Keep a digest that has arrived."""
        known = self._digest_by_instance.get(digest.instance)
        if known is None or known.revision != digest.revision:
            self._heard_at_by_instance[digest.instance] = now
        self._digest_by_instance[digest.instance] = digest
        self._valid_until_by_instance[digest.instance] = now + DIGEST_TTL_S

    def avoid(self, instance: str, now: float) -> None:
        """Do not offer an instance as a source for a while."""
        self._avoided_until_by_instance[instance] = now + FAILED_SOURCE_DELAY_S

    def readers(self, now: float) -> list[ConfigurationDigest]:
        """Return the digests of the readers of this failure domain."""
        self._drop_expired(now)
        return [
            digest
            for digest in self._digest_by_instance.values()
            if digest.is_reader and digest.failure_domain == self._failure_domain
        ]

    def has_reader_with(self, held: HeldConfiguration | None, now: float) -> bool:
        """Whether a reader of this failure domain has the held configuration."""
        return held is not None and any(
            digest.revision == held.revision for digest in self.readers(now)
        )

    def sources(
        self, is_wanted: Callable[[ConfigurationDigest], bool], now: float
    ) -> list[ConfigurationDigest]:
        """Return the digests of the instances that may be asked for a copy.

        Parameters
        ----------
        is_wanted : callable
            Whether the configuration of a digest is wanted.
        now : float
            Monotonic time in seconds.
        """
        self._drop_expired(now)
        wanted = [
            digest
            for instance, digest in self._digest_by_instance.items()
            if instance not in self._avoided_until_by_instance and is_wanted(digest)
        ]
        near = [item for item in wanted if item.failure_domain == self._failure_domain]
        return near or [
            digest
            for digest in wanted
            if now >= self._heard_at_by_instance[digest.instance] + CROSSING_DELAY_S
        ]

    def _drop_expired(self, now: float) -> None:
        expired = [
            instance
            for instance, until in self._valid_until_by_instance.items()
            if until <= now
        ]
        for instance in expired:
            del self._digest_by_instance[instance]
            del self._valid_until_by_instance[instance]
            del self._heard_at_by_instance[instance]
        self._avoided_until_by_instance = {
            instance: until
            for instance, until in self._avoided_until_by_instance.items()
            if until > now
        }
