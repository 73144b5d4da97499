"""Role of this instance in reading the configuration from the store."""

from math import inf

from absl import logging
from trio import MemorySendChannel, current_time

from jackdawspread.decisions.store_reads.configuration_schedule import (
    confirmation_timeout_s,
    feed_wait_s,
)
from jackdawspread.decisions.store_reads.domain_rank import MAX_RANK
from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.decisions.store_reads.reader_role import (
    DISTRUST_S,
    ReaderRole,
    readers_before,
    update_role,
)
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_reader_event import (
    ConfigurationReaderEvent,
)
from jackdawspread.messages.fleet.confirm_configuration import ConfirmConfiguration
from jackdawspread.messages.fleet.store_reading import StoreReading

# A reader asks again for a confirmation that has not come after this time.
CONFIRMATION_RETRY_S = 2.0
# An instance whose configuration no reader has confirmed for this long reads itself.
UNCONFIRMED_S = 6.0


class StoreReadingRole:
    """Decides whether this instance reads, and gives the orders to its reader.

    Only the configuration exchange uses it.

    Parameters
    ----------
    instance : str
        Id of this instance.
    link_bytes_per_s : float
        Rate of the link of this instance's machine.
    reader : trio.MemorySendChannel
        Inbox of the configuration reader.
    """

    def __init__(
        self,
        instance: str,
        link_bytes_per_s: float,
        reader: MemorySendChannel[ConfigurationReaderEvent],
    ) -> None:
        self._instance = instance
        self._link_bytes_per_s = link_bytes_per_s
        self._reader = reader
        # Number of instances of the failure domain with a smaller id; None until the
        # others are known.
        self.rank: int | None = None
        # An instance reads until it hears of enough others.
        self._role = ReaderRole(True)
        # Number of readers that are preferred to this instance.
        self._before = 0
        self._order: StoreReading | None = None
        # Whether the last call to the store was answered.
        self._is_answered = False
        # Monotonic times in seconds.
        self._distrusted_until = -inf
        self._confirm_at = inf
        self._unconfirmed_at = inf

    @property
    def _known_rank(self) -> int:
        return MAX_RANK if self.rank is None else self.rank

    @property
    def is_reading(self) -> bool:
        """Whether this instance has the store report changes, and gets answers."""
        return self._role.is_reader and self._is_answered

    @property
    def is_first(self) -> bool:
        """Whether no reader is preferred to this instance."""
        return self._before == 0

    @property
    def is_waiting(self) -> bool:
        """Whether this instance becomes a reader soon, if no other one does."""
        return self._role.wanted_since is not None

    def store_answered(self) -> None:
        """Note an answer of the store to this instance."""
        self._is_answered = True
        self._distrusted_until = -inf

    def store_failed(self) -> None:
        """Note a call that the store did not answer."""
        self._is_answered = False
        self._distrusted_until = current_time() + DISTRUST_S

    def configuration_confirmed(self) -> None:
        """Note that the store had the configuration in use a moment ago."""
        now = current_time()
        self._unconfirmed_at = now + UNCONFIRMED_S
        self._confirm_at = now + confirmation_timeout_s(self._before)

    async def update(
        self,
        readers: list[ConfigurationDigest],
        held: HeldConfiguration | None,
        now: float,
    ) -> bool:
        """Do what is due; return whether this instance begins to read.

        Parameters
        ----------
        readers : list of ConfigurationDigest
            Digests of the other readers of the failure domain.
        held : HeldConfiguration or None
            Configuration in use.
        now : float
            Monotonic time in seconds.
        """
        was_reader = self._role.is_reader
        if now >= self._unconfirmed_at:
            # What the others hold does not help this instance.
            readers = []
        self._update_role(readers, now)
        await self._send_order(held)
        if held is not None and self._role.is_reader and now >= self._confirm_at:
            self._confirm_at = now + CONFIRMATION_RETRY_S
            await self._reader.send(ConfirmConfiguration())
        return self._role.is_reader and not was_reader

    def _update_role(self, readers: list[ConfigurationDigest], now: float) -> None:
        role, link = self._role, self._link_bytes_per_s
        self._before = readers_before(self._instance, link, readers)
        is_trusted = now >= self._distrusted_until
        self._role = update_role(
            role, self._before, len(readers), is_trusted, self._known_rank, now
        )
        if self._role.is_reader != role.is_reader:
            logging.info(
                "configuration: role changed reads_store=%s other_readers=%d "
                "preferred=%d trusted=%s",
                self._role.is_reader,
                len(readers),
                self._before,
                is_trusted,
            )

    async def _send_order(self, held: HeldConfiguration | None) -> None:
        """Tell the reader what has changed."""
        # Instances that start together do not all have the configuration confirmed.
        position = MAX_RANK if self.rank is None else self._before
        order = StoreReading(
            self._role.is_reader,
            feed_wait_s(position),
            # Without a configuration this instance serves nobody.
            self._known_rank if held is not None else 0,
            held.store_version if held is not None else 0,
            held.epoch if held is not None else 0,
        )
        last = self._order
        if last is None or order[:3] != last[:3]:
            self._order = order
            await self._reader.send(order)
