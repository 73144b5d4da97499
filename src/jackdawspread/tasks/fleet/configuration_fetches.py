"""Fetches of the configuration from other instances."""

from random import random

from trio import MemorySendChannel

from jackdawspread.codecs.configuration_copies import (
    configuration_revision,
    decode_changes,
)
from jackdawspread.decisions.store_reads.configuration_changes import (
    EMPTY_CONFIGURATION,
    apply_changes,
)
from jackdawspread.decisions.store_reads.configuration_choice import (
    ConfigurationChoice,
)
from jackdawspread.decisions.store_reads.copy_source import choose_source
from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.messages.fleet.configuration_copy import ConfigurationCopy
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_revision import NO_REVISION
from jackdawspread.messages.fleet.fetch_configuration import FetchConfiguration
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.fleet.configuration_exchange import ConfigurationExchange
from jackdawspread.tasks.fleet.configuration_in_use import ConfigurationInUse


class ConfigurationFetches:
    """Decides what to fetch, one copy at a time, and decodes the copies.

    Only the configuration keeper uses it.

    Parameters
    ----------
    in_use : ConfigurationInUse
        The configuration that this instance has.
    exchange : ConfigurationExchange
        Knows what the other instances have.
    copier : trio.MemorySendChannel
        Inbox of the configuration copier.
    """

    def __init__(
        self,
        in_use: ConfigurationInUse,
        exchange: ConfigurationExchange,
        copier: MemorySendChannel[FetchConfiguration],
    ) -> None:
        self._in_use = in_use
        self._exchange = exchange
        self._copier = copier
        self._is_fetching = False
        # Whether the last copy did not lead to what was announced.
        self._needs_everything = False

    def start_if_needed(self) -> None:
        """Fetch from an instance that has something newer, unless a fetch goes on."""
        if self._is_fetching:
            return
        sources = self._exchange.sources(self._is_wanted)
        if not sources:
            return
        source = choose_source(sources, random())
        base = NO_REVISION if self._needs_everything else self._in_use.revision
        address = self._exchange.copy_address(source)
        self._copier.send_nowait(FetchConfiguration(source.instance, address, base))
        self._is_fetching = True

    def end(self) -> None:
        """Note that the fetch has ended."""
        self._is_fetching = False

    def _is_wanted(self, digest: ConfigurationDigest) -> bool:
        if digest.revision == NO_REVISION:
            return False
        held = self._in_use.held
        as_of = self._in_use.to_local_time(digest.confirmed_s)
        choice = self._in_use.choose(digest.revision, digest.epoch, as_of)
        if choice is ConfigurationChoice.TAKE or held is None:
            return True
        return (
            self._in_use.domains is not None
            and digest.evacuated_domains is not None
            and digest.evacuated_domains != self._in_use.domains
            and (digest.epoch, digest.store_version) > (held.epoch, held.store_version)
        )

    def decode(self, copy: ConfigurationCopy) -> HeldConfiguration | None:
        """Return what a copy brings; None if what it is based on is not held any more.

        Raises
        ------
        ValueError
            If the copy can't be decoded, or leads to another configuration than the
            announced one.
        """
        held, base = self._in_use.held, EMPTY_CONFIGURATION
        if copy.base != NO_REVISION:
            if held is None or held.revision != copy.base:
                return None
            base = held.configuration
        configuration = apply_changes(base, decode_changes(copy.encoded_changes))
        is_wrong = configuration_revision(configuration) != copy.revision
        self._needs_everything = is_wrong
        if is_wrong:
            raise ValueError("the changes do not lead to the announced configuration")
        as_of = self._in_use.to_local_time(copy.confirmed_s)
        return HeldConfiguration(
            configuration,
            copy.revision,
            copy.epoch,
            min(as_of, seconds_since_boot()),
            copy.confirmed_s,
            copy.store_version,
        )
