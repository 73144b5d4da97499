"""One instance with stand-ins of the users' platform, on the loopback interface."""

import json

from features.support.trio_thread import TrioThread
from features.wire.table_store import TableStore
from features.wire.wire_caller import WireCaller
from features.wire.wire_group import WireGroup
from features.wire.wire_member import WireMember
from trio import Event, Nursery, open_nursery, open_tcp_listeners, sleep, sleep_forever

from jackdawspread.platform.composition import PlatformInstance
from jackdawspread.settings.session_proxy_settings import SessionProxySettings
from jackdawspread.tasks.http_server import HttpServer

INSTANCE_IP = "127.0.77.1"
GROUP = "ledger"
KEY = "key-of-w1"


class PlatformWorld:
    """Runs the stand-ins and an instance in one thread with the real clock."""

    def __init__(self) -> None:
        self._thread = TrioThread(real_time=True)
        self._nursery: Nursery
        self._stopping = Event()
        self.is_stopped = False
        self.store = TableStore(self._promote)
        self.group = WireGroup(GROUP, self.store)
        self.member_by_id: dict[str, WireMember] = {}
        self.configuration = initial_configuration()
        self.address = ""

    def start(self) -> None:
        """Start the stand-ins and the instance, and wait until it serves."""
        ready = Event()
        self._thread.start(self._run, ready)
        self._thread.call(ready.wait)

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.configuration["Version"] += 1
        value = json.dumps(self.configuration).encode()
        self.call(_as_coroutine, self.store.put, "op", "config", value)

    def open(self, database: str = "primary-db", key: str = KEY) -> WireCaller:
        """Open a session."""
        return self.call(WireCaller.open, self.address, database, key)

    def query(self, caller: WireCaller, text: str) -> list[str]:
        """Run a statement."""
        return self.call(caller.query, text)

    def call(self, function, *args):
        """Run a coroutine function in the thread of the world."""
        return self._thread.call(function, *args)

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self.call(_as_coroutine, self._stopping.set)

    def close(self) -> None:
        """End the stand-ins and the instance."""
        self._thread.stop()

    def _promote(self, service: str, member: str) -> int:
        return self.group.promote(member) if service == GROUP else 404

    async def _run(self, ready: Event) -> None:
        async with open_nursery() as self._nursery:
            store_address = await self._listen_store()
            for number in range(3):
                await self._start_member(f"m{number}")
            self.group.primary = "m0"
            self.group.register()
            value = json.dumps(self.configuration).encode()
            self.store.put("op", "config", value)
            await self._start_instance(store_address)
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

    async def _start_instance(self, store_address: str) -> None:
        ports = []
        for _ in range(4):
            listeners = await open_tcp_listeners(0, host=INSTANCE_IP)
            ports.append(listeners[0].socket.getsockname()[1])
            await listeners[0].aclose()
        self.address = f"{INSTANCE_IP}:{ports[0]}"
        settings = SessionProxySettings(
            instance="i1",
            failure_domain="z1",
            session_address=self.address,
            readiness_address=f"{INSTANCE_IP}:{ports[1]}",
            store_address=store_address,
            promotion_address=store_address,
            ip=INSTANCE_IP,
            metrics_address=f"{INSTANCE_IP}:{ports[3]}",
            peer_address=f"{INSTANCE_IP}:{ports[2]}",
            drain_s=7.0,
            grace_s=6.0,
            max_configuration_age_s=15.0,
            max_sessions=100,
        )
        self._nursery.start_soon(self._run_instance, settings)
        await self._wait_until_serving()

    async def _run_instance(self, settings: SessionProxySettings) -> None:
        await PlatformInstance(settings, self._stopping).run()
        self.is_stopped = True

    async def _wait_until_serving(self) -> None:
        while True:
            try:
                caller = await WireCaller.open(self.address, "primary-db", KEY)
            except OSError:
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
