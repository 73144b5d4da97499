"""Instances with stand-ins of the users' platform, on the loopback interface."""

import json

from features.support.free_ports import free_ports
from features.support.trio_thread import TrioThread
from features.wire.store_link import StoreLink
from features.wire.table_store import TableStore
from features.wire.wire_caller import WireCaller
from features.wire.wire_group import WireGroup
from features.wire.wire_member import WireMember
from trio import (
    CancelScope,
    Event,
    Nursery,
    open_nursery,
    open_tcp_listeners,
    sleep,
    sleep_forever,
)

from jackdawspread.platform.composition import PlatformInstance
from jackdawspread.settings.session_proxy_settings import SessionProxySettings
from jackdawspread.tasks.http_server import HttpServer

INSTANCE_IP = "127.0.77.{}"
FAILURE_DOMAINS = ("z1", "z2", "z3")
# Sessions, readiness, peers and metrics. Copies of the configuration have the port
# after that of the peers.
PORTS = 4
REGION_BY_DOMAIN = {"z1": "north", "z2": "north", "z3": "south"}
MAX_CONNECTIONS = 16
GROUP = "ledger"
KEY = "key-of-w1"


class PlatformWorld:
    """Runs the stand-ins and the instances in one thread with the real clock.

    Parameters
    ----------
    instances : int
        Number of instances, which take turns in three failure domains.
    max_connections : int
        Number of connections that a member accepts from all instances together.
    evacuation_s : float
        Seconds within which an evacuation must take effect; 0 for a platform without
        them.
    failure_domains : tuple of str
        Failure domains, in which the instances take turns.
    link_bytes_per_s : tuple of float
        Rate at which answers of the store reach each of the first instances.
    """

    def __init__(
        self,
        instances: int = 1,
        max_connections: int = MAX_CONNECTIONS,
        evacuation_s: float = 0.0,
        failure_domains: tuple[str, ...] = FAILURE_DOMAINS,
        link_bytes_per_s: tuple[float, ...] = (),
    ) -> None:
        self._failure_domains = failure_domains
        self._link_bytes_per_s = link_bytes_per_s
        # Links to the store, in the order of the instances.
        self.links: list[StoreLink] = []
        self._instances = instances
        self._evacuation_s = evacuation_s
        self._is_first_start = True
        self._thread = TrioThread(real_time=True)
        self._nursery: Nursery
        self._stopping_by_instance = [Event() for _ in range(instances)]
        self._scope_by_instance = [CancelScope() for _ in range(instances)]
        self._ended_by_instance = [Event() for _ in range(instances)]
        self.is_stopped = False
        self.store = TableStore(self._promote)
        self.group = WireGroup(GROUP, self.store)
        self.member_by_id: dict[str, WireMember] = {}
        self.configuration = initial_configuration()
        self.configuration["Services"][0]["MaxConns"] = max_connections
        self.addresses: list[str] = []
        # Ports of every instance, in the order given at PORTS.
        self.ports: tuple[int, ...] = ()
        self.store_address = ""

    @property
    def address(self) -> str:
        """``IP:port`` for callers of the first instance."""
        return self.addresses[0]

    def start(self) -> None:
        """Start the stand-ins and the instances, and wait until they serve."""
        ready = Event()
        self._thread.start(self._run, ready)
        self._thread.call(ready.wait)

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.configuration["Version"] += 1
        value = json.dumps(self.configuration).encode()
        self.call(_as_coroutine, self.store.put, "op", "config", value)

    def evacuate(self, failure_domain: str) -> None:
        """Request an evacuation, as an operator does."""
        key = f"evacuate/{failure_domain}"
        self.call(_as_coroutine, self.store.put, "op", key, b"{}")

    def take_evacuation_back(self, failure_domain: str) -> None:
        """Remove the request for an evacuation."""
        key = f"evacuate/{failure_domain}"
        self.call(_as_coroutine, self.store.delete, "op", key)

    def open(
        self, database: str = "primary-db", key: str = KEY, instance: int = 0
    ) -> WireCaller:
        """Open a session."""
        return self.call(WireCaller.open, self.addresses[instance], database, key)

    def query(self, caller: WireCaller, text: str) -> list[str]:
        """Run a statement."""
        return self.call(caller.query, text)

    def call(self, function, *args):
        """Run a coroutine function in the thread of the world."""
        return self._thread.call(function, *args)

    def stop(self, instance: int = 0) -> None:
        """Begin a graceful shutdown of an instance."""
        self.call(_as_coroutine, self.set_stopping, instance)

    def set_stopping(self, instance: int = 0) -> None:
        """Begin a graceful shutdown; called in the thread of the world."""
        self._stopping_by_instance[instance].set()

    def kill(self, instance: int) -> None:
        """End an instance at once; its sockets are closed."""
        self.call(_as_coroutine, self._scope_by_instance[instance].cancel)

    def restart(self, instance: int) -> None:
        """Start an instance that was killed."""
        self.call(self._ended_by_instance[instance].wait)
        self._ended_by_instance[instance] = Event()
        self._stopping_by_instance[instance] = Event()
        self._scope_by_instance[instance] = CancelScope()
        self._is_first_start = False
        self.call(self.start_instance, instance)

    def connections(self) -> int:
        """Return how many connections the members have accepted so far."""
        return sum(member.accepted for member in self.member_by_id.values())

    def close(self) -> None:
        """End the stand-ins and the instances."""
        self._thread.stop()

    def _promote(self, service: str, member: str) -> int:
        return self.group.promote(member) if service == GROUP else 404

    async def _run(self, ready: Event) -> None:
        async with open_nursery() as self._nursery:
            self.store_address = await self._listen_store()
            for number in range(3):
                await self._start_member(f"m{number}")
            self.group.primary = "m0"
            self.group.register()
            value = json.dumps(self.configuration).encode()
            self.store.put("op", "config", value)
            self.ports = free_ports(INSTANCE_IP.format(1), PORTS)
            for number in range(self._instances):
                await self.start_instance(number)
            for address in self.addresses:
                await self._wait_until_serving(address)
            ready.set()
            await sleep_forever()

    async def _listen_store(self) -> str:
        listeners = await open_tcp_listeners(0, host="127.0.0.1")
        server = HttpServer(listeners[0], self.store.handle, Event())
        self._nursery.start_soon(server.run)
        return _address(listeners[0])

    async def _start_member(self, id: str) -> None:
        listeners = await open_tcp_listeners(0, host="127.0.0.1")
        member = WireMember(id, self.group, listeners[0])
        self.member_by_id[id] = member
        self.group.address_by_member[id] = _address(listeners[0])
        self._nursery.start_soon(member.run)

    async def start_instance(self, number: int) -> None:
        """Start an instance, also one that was killed; called in the world's thread."""
        ip = INSTANCE_IP.format(number + 1)
        session, readiness, peer, metrics = (f"{ip}:{port}" for port in self.ports)
        store_address = self.store_address
        if number < len(self._link_bytes_per_s):
            link = StoreLink(store_address, self._link_bytes_per_s[number])
            self.links[number:] = [link, *self.links[number + 1 :]]
            store_address = await link.start(self._nursery)
        self.addresses[number:] = [session, *self.addresses[number + 1 :]]
        settings = SessionProxySettings(
            instance=f"i{number + 1}",
            failure_domain=self._failure_domains[number % len(self._failure_domains)],
            session_address=session,
            readiness_address=readiness,
            store_address=store_address,
            promotion_address=self.store_address,
            ip=ip,
            metrics_address=metrics,
            peer_address=peer,
            copy_address=f"{ip}:{self.ports[2] + 1}",
            is_first_start=self._is_first_start,
            drain_s=7.0,
            grace_s=6.0,
            max_configuration_age_s=15.0,
            max_outdated_s=2.0,
            max_sessions=100,
            region_by_domain=REGION_BY_DOMAIN,
            evacuation_s=self._evacuation_s,
        )
        self._nursery.start_soon(self._run_instance, number, settings)

    async def _run_instance(self, number: int, settings: SessionProxySettings) -> None:
        stopping = self._stopping_by_instance[number]
        with self._scope_by_instance[number]:
            await PlatformInstance(settings, stopping).run()
            self.is_stopped = True
        self._ended_by_instance[number].set()

    async def _wait_until_serving(self, address: str) -> None:
        while True:
            try:
                caller = await WireCaller.open(address, "primary-db", KEY)
            except OSError:
                await sleep(0.02)
                continue
            if not caller.opened.startswith("READY"):
                # The instance has not read its configuration yet.
                await sleep(0.02)
                continue
            answer = await caller.query("READ warm-up")
            if answer[-2].startswith("DONE"):
                await caller.send_raw(b"BYE\r\n")
                return
            await sleep(0.02)


def initial_configuration() -> dict:
    """Return a configuration with one database for each consistency of route."""
    consistencies = ("primary", "bounded", "session")
    return {
        "Version": 3,
        "Routes": [
            {
                "Name": f"r-{consistency}",
                "Host": f"{consistency}-db",
                "RouteType": consistency,
                "Service": GROUP,
                "TimeoutMs": 1500,
                "TargetLatencyMs": 300,
                "MaxStalenessMs": 2000,
                "Public": False,
            }
            for consistency in consistencies
        ],
        "Services": [{"Name": GROUP, "MaxConns": 16, "SyncReplicas": 1}],
        "Limits": {"TxIdleMs": 3000},
        "Tenants": [
            {"Name": "w1", "ApiKeys": [KEY], "RatePerS": 200, "Burst": 200},
            {"Name": "w2", "ApiKeys": ["key-of-w2"], "RatePerS": 5, "Burst": 5},
        ],
    }


def _address(listener) -> str:
    host, port = listener.socket.getsockname()[:2]
    return f"{host}:{port}"


async def _as_coroutine(function, *args) -> None:
    function(*args)
