"""Instances that run as processes, with stand-ins between which links can fail."""

import json
import os
import signal
from base64 import b64decode, b64encode
from copy import deepcopy
from functools import partial
from pathlib import Path
from socket import SOCK_DGRAM, socket
from urllib.parse import urlsplit

from features.support.free_ports import free_ports
from features.support.instance_process import SOURCE, InstanceProcess
from features.support.trio_thread import TrioThread
from features.wire.commit_checker import CommitChecker
from features.wire.datagram_forwarder import DatagramForwarder
from features.wire.fault_links import FaultLinks
from features.wire.platform_world import GROUP, KEY, initial_configuration
from features.wire.promotion_call import PromotionCall
from features.wire.replicated_group import ReplicatedGroup
from features.wire.table_store import TableStore
from features.wire.write_ledger import WriteLedger
from features.wire.write_load import WriteLoad
from trio import (
    Event,
    fail_after,
    open_nursery,
    open_tcp_listeners,
    sleep,
    sleep_forever,
)

from jackdawspread.decisions.members.listing_retention import REREGISTRATION_S
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.tasks.http_server import HttpServer

INSTANCE_IP, FRONT_IP = "127.77.{}.{}", "127.78.{}.{}"
BLOCKS = range(1, 250)
# Sessions, readiness and peers. Copies of the configuration have the port after that of
# the peers.
PORTS = 3
RESERVED_HOST, RESERVED_PORT = 250, 9464
MEMBERS = 3
CALLERS = 3
START_TIMEOUT_S = 30.0
SETTLED_S = REREGISTRATION_S + 0.5
STORE = "store"
UNAVAILABLE = 503
REGISTRATION = "instance-"


class ProcessFleet:
    """Runs stand-ins in one thread of this process, and instances as processes.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings files and logs.
    instances : int
        Number of instances, each in a failure domain of its own.
    source_by_name : dict
        Folders of the packages of instances that run another version.
    """

    def __init__(
        self,
        folder: Path,
        instances: int = 3,
        source_by_name: dict[str, Path] | None = None,
    ) -> None:
        self._folder = folder
        self._source_by_name = source_by_name or {}
        self._thread = TrioThread(real_time=True)
        self._reserved, self._block = _reserve_block()
        self.names = [f"i{number + 1}" for number in range(instances)]
        self.process_by_name: dict[str, InstanceProcess] = {}
        # Also those that have ended, whose logs are kept.
        self._started: list[tuple[str, InstanceProcess]] = []
        self.links = FaultLinks()
        self.ledger = WriteLedger()
        self.store = TableStore(lambda service, member: 404)
        # Set at a write of a record by an instance; the test may stop it there.
        self.on_record = lambda instance, name, value: None
        self._stopped: set[str] = set()
        self._configuration = initial_configuration()
        self._configuration["Services"][0]["MaxConns"] = 64
        self._configuration["Tenants"][0].update(RatePerS=10_000, Burst=10_000)
        self._loads: list[WriteLoad] = []

    def start(self) -> None:
        """Start everything, and wait until every instance writes and may promote.

        An instance that has just started takes the list of members for incomplete.
        """
        ready = Event()
        self._thread.start(self._run, ready)
        self.call(ready.wait)
        for name in self.names:
            self._start_process(name)
        self.call(self._start_load)
        for name in self.names:
            self.wait(self.ledger.wait_for_acknowledged, 5, name)
        self.call(sleep, SETTLED_S)

    def address(self, name: str) -> str:
        """Return ``IP:port`` for the callers of an instance."""
        return f"{self._ip(name)}:{self._ports[0]}"

    def call(self, function, *args):
        """Run a coroutine function in the thread of the stand-ins."""
        return self._thread.call(function, *args)

    def wait(self, function, *args, timeout_s: float = START_TIMEOUT_S):
        """Run a coroutine function with a deadline that only bounds a hang."""

        async def run():
            with fail_after(timeout_s):
                return await function(*args)

        return self.call(run)

    def run(self, function, *args):
        """Run a plain function in the thread of the stand-ins."""

        async def run():
            return function(*args)

        return self.call(run)

    def spawn(self, function, *args) -> None:
        """Start a task in the thread of the stand-ins."""
        self.run(partial(self.nursery.start_soon, function, *args))

    def freeze(self, name: str) -> None:
        """Stop the process of an instance with SIGSTOP."""
        self._stopped.add(name)
        os.kill(self.process_by_name[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let the process of an instance go on."""
        self._stopped.discard(name)
        os.kill(self.process_by_name[name].pid, signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Kill the process of an instance and start it again."""
        self.process_by_name[name].end()
        self._start_process(name, is_first_start=False)

    @property
    def configuration(self) -> dict:
        """Copy of the newest configuration."""
        return deepcopy(self._configuration)

    def configure(self, configuration: dict) -> None:
        """Write a configuration under the next version, as an operator does."""
        version = self._configuration["Version"] + 1
        self._configuration = {**configuration, "Version": version}
        self.store.put("op", "config", json.dumps(self._configuration).encode())

    def finish(self) -> list[str]:
        """Let the callers end after their last statement; return all faults."""
        self.wait(self._stop_load)
        self.run(self.checker.check_end, self.group.leader)
        return self.checker.faults

    def log_lines(self, *words: str) -> list[str]:
        """Return the lines of all instances that contain one of the words, by time."""
        return sorted(
            f"{line[:23]} {name} {line[24:]}"
            for name, process in self._started
            for line in process.log.splitlines()
            if any(word in line for word in words)
        )

    def close(self) -> None:
        """End the processes and the stand-ins."""
        for process in self.process_by_name.values():
            process.end()
        self._thread.stop()
        self._reserved.close()

    async def _run(self, ready: Event) -> None:
        async with open_nursery() as self.nursery:
            self.group = ReplicatedGroup(GROUP, self.store, self.links, self.nursery)
            self.promotions = PromotionCall(self.group, self.nursery)
            self.checker = CommitChecker(self.group, self.ledger)
            await self.group.start(MEMBERS)
            self.configure(self._configuration)
            self._ports = free_ports(self._ip(self.names[0]), PORTS)
            self._store_address_by_name = {
                name: await self._listen_store(name) for name in self.names
            }
            forwarder = DatagramForwarder(
                self.links,
                {name: self._ip(name) for name in self.names},
                {name: self._ip(name, FRONT_IP) for name in self.names},
                self._ports[2],
            )
            await forwarder.start(self.nursery)
            ready.set()
            await sleep_forever()

    async def _start_load(self) -> None:
        for name in self.names:
            for number in range(CALLERS):
                prefix, address = f"{name}-{number}", self.address(name)
                load = WriteLoad(prefix, name, address, KEY, self.ledger)
                self._loads.append(load)
                self.nursery.start_soon(load.run)

    async def _stop_load(self) -> None:
        for load in self._loads:
            load.is_stopped = True
        for load in self._loads:
            await load.ended.wait()

    async def _listen_store(self, name: str) -> str:
        (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
        server = HttpServer(listener, partial(self._handle, name), Event())
        self.nursery.start_soon(server.run)
        host, port = listener.socket.getsockname()[:2]
        return f"{host}:{port}"

    async def _handle(self, name: str, request: HttpRequest) -> HttpResponse:
        """Handle a call of an instance to the platform."""
        if not await self.links.transfer(name, STORE):
            return HttpResponse(UNAVAILABLE, (), b"{}")
        if urlsplit(request.target).path == "/promote":
            status = await self.promotions.handle(request)
            response = HttpResponse(status, (), b"{}")
        else:
            request = self._rewrite(name, request)
            response = await self.store.handle(request)
        await self.links.transfer(STORE, name)
        return response

    def _rewrite(self, name: str, request: HttpRequest) -> HttpRequest:
        """Replace the address at which an instance registers by the forwarder's."""
        if not request.target.startswith("/rows-tx"):
            return request
        body = json.loads(request.body)
        own, front = (f"{self._ip(name, ip)}:" for ip in (INSTANCE_IP, FRONT_IP))
        for row in body["Puts"]:
            value = b64decode(row["Value"])
            self.on_record(name, row["Key"], value)
            if row["Key"].startswith(REGISTRATION):
                value = value.replace(own.encode(), front.encode())
                row["Value"] = b64encode(value).decode()
        return request._replace(body=json.dumps(body).encode())

    def _start_process(self, name: str, is_first_start: bool = True) -> None:
        ip = self._ip(name)
        session, readiness, peer = self._ports
        settings = {
            "NodeName": name,
            "Ip": ip,
            "Zone": f"z{self.names.index(name) + 1}",
            "ListenAddrs.Front": f"{ip}:{session}",
            "ListenAddrs.Ready": f"{ip}:{readiness}",
            "InternalPorts": f"{peer},{peer + 1}",
            "platform.Address": self._store_address_by_name[name],
            "CloudApi.Address": self._store_address_by_name[name],
            "Bootstrap": "true" if is_first_start else "false",
        }
        folder = self._folder / f"{name}-{len(self._started)}"
        folder.mkdir()
        process = InstanceProcess(
            folder, settings, source=self._source_by_name.get(name, SOURCE)
        )
        self.process_by_name[name] = process
        self._started.append((name, process))
        self.run(self.group.instance_by_pid.__setitem__, process.pid, name)

    def _ip(self, name: str, pattern: str = INSTANCE_IP) -> str:
        return pattern.format(self._block, self.names.index(name) + 1)


def _reserve_block() -> tuple[socket, int]:
    """Reserve a block of addresses, as the port of the metrics is fixed."""
    for block in BLOCKS:
        reserved = socket(type=SOCK_DGRAM)
        try:
            reserved.bind((INSTANCE_IP.format(block, RESERVED_HOST), RESERVED_PORT))
        except OSError:
            reserved.close()
            continue
        return reserved, block
    raise OSError("no block of addresses is free")
