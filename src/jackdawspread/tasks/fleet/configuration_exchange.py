"""Exchange of digests of the configuration between instances."""

from collections.abc import Callable, Iterable, Mapping

from trio import MemorySendChannel, WouldBlock, current_time

from jackdawspread.codecs.network_address import parse_address
from jackdawspread.decisions.store_reads.digest_relay import MAX_HOPS, next_receivers
from jackdawspread.decisions.store_reads.domain_rank import rank_in_domain
from jackdawspread.decisions.store_reads.held_configuration import HeldConfiguration
from jackdawspread.decisions.store_reads.reader_role import (
    DIGEST_INTERVAL_S,
    RANK_DELAY_S,
)
from jackdawspread.messages.fleet.broadcast_datagram import BroadcastDatagram
from jackdawspread.messages.fleet.configuration_confirmed import ConfigurationConfirmed
from jackdawspread.messages.fleet.configuration_digest import ConfigurationDigest
from jackdawspread.messages.fleet.configuration_revision import NO_REVISION
from jackdawspread.messages.fleet.instance_entry import InstanceEntry
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.send_datagram import SendDatagram
from jackdawspread.tasks.fleet.heard_digests import HeardDigests
from jackdawspread.tasks.fleet.store_reading_role import StoreReadingRole

# An instance that hears of no reader and gets no answer of the store asks one instance
# of each failure domain at this interval.
ASK_INTERVAL_S = 1.0


class ConfigurationExchange:
    """Tells other instances what this one holds, and keeps what they hold.

    Only the configuration keeper uses it.

    Parameters
    ----------
    instance : str
        Id of this instance.
    entry : InstanceEntry
        Address for datagrams and failure domain of this instance.
    link_bytes_per_s : float
        Rate of the link of this instance's machine.
    copy_port : int
        Port on which every instance gives copies.
    role : StoreReadingRole
        Decides whether this instance reads the store.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    """

    def __init__(
        self,
        instance: str,
        entry: InstanceEntry,
        link_bytes_per_s: float,
        copy_port: int,
        role: StoreReadingRole,
        peers: MemorySendChannel[PeerEvent],
    ) -> None:
        self._instance = instance
        self._entry = entry
        self._link_bytes_per_s = link_bytes_per_s
        self._copy_port = copy_port
        self._role = role
        self._peers = peers
        self._heard = HeardDigests(entry.failure_domain)
        self._entry_by_instance: dict[str, InstanceEntry] = {instance: entry}
        # Whether the others were told of this instance, and whether the configuration
        # in use has not been announced yet.
        self._is_announced = False
        self._is_news = False
        # Monotonic times in seconds.
        self.next_tick_at = 0.0
        self._digest_at = 0.0
        self._ask_at = 0.0
        self._asked_turn = 0

    def update_instances(self, entries: Mapping[str, InstanceEntry]) -> None:
        """Use a newer list of the instances."""
        self._entry_by_instance = {**entries, self._instance: self._entry}
        self._role.rank = rank_in_domain(
            self._instance, self._entry.failure_domain, self._entry_by_instance
        )

    def store_answered(self) -> None:
        """Note an answer of the store to this instance."""
        self._role.store_answered()

    def store_failed(self) -> None:
        """Note a call that the store did not answer."""
        self._role.store_failed()

    def configuration_taken(self) -> None:
        """Announce a new configuration at the next tick."""
        self._digest_at = 0.0
        self._is_news = True
        self._role.configuration_confirmed()

    def configuration_confirmed(self) -> None:
        """Note that the store had the configuration in use a moment ago."""
        self._role.configuration_confirmed()

    def confirm_to_earlier_versions(self, confirmed: ConfigurationConfirmed) -> None:
        """Tell instances of an earlier version what the store has confirmed."""
        if not self._role.is_first:
            return
        try:
            self._peers.send_nowait(BroadcastDatagram(confirmed, True))
        except WouldBlock:
            # The next confirmation is passed on.
            return

    def sources(
        self, is_wanted: Callable[[ConfigurationDigest], bool]
    ) -> list[ConfigurationDigest]:
        """Return the digests of the instances that may be asked for a copy."""
        return self._heard.sources(is_wanted, current_time())

    def avoid(self, instance: str) -> None:
        """Ask an instance for no copy for a while."""
        self._heard.avoid(instance, current_time())

    def copy_address(self, digest: ConfigurationDigest) -> str:
        """Return where an instance gives copies."""
        return f"{parse_address(digest.address)[0]}:{self._copy_port}"

    def receive(
        self,
        digest: ConfigurationDigest,
        held: HeldConfiguration | None,
        domains: tuple[str, ...] | None,
    ) -> None:
        """Keep a digest, pass it on, and answer it if it is a question."""
        if digest.instance == self._instance:
            return
        if digest.instance not in self._entry_by_instance:
            # The instance has started after the list was read.
            entry = InstanceEntry(digest.address, digest.failure_domain)
            self._entry_by_instance[digest.instance] = entry
        self._heard.add(digest, current_time())
        if digest.hops:
            passed_on = digest._replace(hops=digest.hops - 1)
            self._send(passed_on, self._next_receivers(digest.instance))
        is_question = not digest.is_reader and not digest.hops
        if is_question and held is not None:
            self._send(self._digest(held, domains, 0), (digest.address,))

    async def tick(
        self, held: HeldConfiguration | None, domains: tuple[str, ...] | None
    ) -> bool:
        """Do what is due; return whether this instance begins to read the store."""
        now = current_time()
        begins = await self._role.update(self._heard.readers(now), held, now)
        self._announce(held, domains, now)
        if self._is_isolated(held, now) and now >= self._ask_at:
            self._ask_at = now + ASK_INTERVAL_S
            self._send(self._digest(held, domains, 0), self._one_of_each_domain())
        delay_s = RANK_DELAY_S if self._role.is_waiting else DIGEST_INTERVAL_S
        self.next_tick_at = now + delay_s
        return begins

    def _announce(
        self,
        held: HeldConfiguration | None,
        domains: tuple[str, ...] | None,
        now: float,
    ) -> None:
        """Send the digests that are due."""
        if not self._is_announced and len(self._entry_by_instance) > 1:
            # The others may not know this instance yet.
            self._is_announced = True
            others = [name for name in self._in_domain() if name != self._instance]
            self._send(self._digest(held, domains, 0), self._addresses(others))
        is_reading = self._is_reading(held)
        if is_reading and now >= self._digest_at:
            self._digest_at = now + DIGEST_INTERVAL_S
            digest = self._digest(held, domains, MAX_HOPS - 1)
            self._send(digest, self._next_receivers(self._instance))
        if self._is_news:
            self._is_news = False
            self._announce_news(is_reading, held, domains)

    def _announce_news(
        self,
        is_reading: bool,
        held: HeldConfiguration | None,
        domains: tuple[str, ...] | None,
    ) -> None:
        """Tell other failure domains of a new configuration, or the own one.

        A reader tells one instance of each other domain, where all links may be narrow.
        That instance passes it on in its domain, unless the readers there are faster.
        """
        if is_reading:
            others = self._one_of_each_domain(without=self._entry.failure_domain)
            self._send(self._digest(held, domains, 0), others)
        elif not self._heard.has_reader_with(held, current_time()):
            digest = self._digest(held, domains, MAX_HOPS - 1)
            self._send(digest, self._next_receivers(self._instance))

    def _is_reading(self, held: HeldConfiguration | None) -> bool:
        """Whether this instance is of use to others as a reader."""
        return self._role.is_reading and held is not None

    def _is_isolated(self, held: HeldConfiguration | None, now: float) -> bool:
        """Whether this instance can learn of a change only by asking."""
        if held is None:
            return True
        return not self._role.is_reading and not self._heard.readers(now)

    def _digest(
        self,
        held: HeldConfiguration | None,
        domains: tuple[str, ...] | None,
        hops: int,
    ) -> ConfigurationDigest:
        return ConfigurationDigest(
            self._instance,
            self._entry.address,
            self._entry.failure_domain,
            held.revision if held is not None else NO_REVISION,
            held.epoch if held is not None else 0,
            held.store_version if held is not None else 0,
            held.confirmed_s if held is not None else 0.0,
            domains,
            self._is_reading(held),
            self._link_bytes_per_s,
            hops,
        )

    def _in_domain(self) -> list[str]:
        domain = self._entry.failure_domain
        return [
            instance
            for instance, entry in self._entry_by_instance.items()
            if entry.failure_domain == domain
        ]

    def _next_receivers(self, origin: str) -> list[str]:
        instances = self._in_domain()
        return self._addresses(next_receivers(origin, self._instance, instances))

    def _one_of_each_domain(self, without: str = "") -> list[str]:
        """Return the addresses of one instance of each failure domain, in turn."""
        self._asked_turn += 1
        instances_by_domain: dict[str, list[str]] = {}
        for instance in sorted(self._entry_by_instance):
            domain = self._entry_by_instance[instance].failure_domain
            if instance != self._instance and domain != without:
                instances_by_domain.setdefault(domain, []).append(instance)
        # Each instance begins with another one.
        turn = self._asked_turn + (self._role.rank or 0)
        return self._addresses(
            [names[turn % len(names)] for names in instances_by_domain.values()]
        )

    def _addresses(self, instances: Iterable[str]) -> list[str]:
        return [self._entry_by_instance[instance].address for instance in instances]

    def _send(self, digest: ConfigurationDigest, addresses: Iterable[str]) -> None:
        for address in addresses:
            try:
                self._peers.send_nowait(SendDatagram(digest, address))
            except WouldBlock:
                # The next digest is sent.
                return
