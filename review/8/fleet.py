"""Instances of the system as processes, with the command of the deploy file."""

import asyncio
import os
import signal
import subprocess
import tomllib
from contextlib import suppress
from pathlib import Path
from socket import socket

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
ZONES = ("north", "north", "east", "south")
START_TIMEOUT_S = 20.0
# Bounds of a small deployment, site saltbush-swap.
BOUNDS = {
    "Bounds.StabilityMs": "4000",
    "Bounds.DrainMs": "7000",
    "Bounds.GraceS": "6",
    "Bounds.ConfigApplyMs": "3000",
    "Bounds.SkewMaxMs": "12000",
    "Bounds.RecoveryS": "12",
    "Limits.CpuShare": "0.537",
    "Limits.Cores": "2",
    "Limits.MemoryMb": "300",
    "Limits.MaxFds": "4300",
    "Limits.LinkMbps": "1000.0",
    "HeartbeatMs": "1200",
}


class Fleet:
    """Starts, stops and restarts instances.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for the settings files and the logs.
    store_address : str
        ``IP:port`` of the platform.
    """

    def __init__(self, folder: Path, store_address: str) -> None:
        self._folder, self._store = folder, store_address
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split(" ")
        self._reserved, self._block = _reserve_block()
        self._front, self._ready, self._peer = _free_ports(self.ip(0))
        self._processes: dict[int, subprocess.Popen] = {}

    def ip(self, number: int) -> str:
        """Return the address of a machine."""
        return f"127.{self._block}.0.{number + 1}"

    def front(self, number: int) -> str:
        """Return ``IP:port`` for clients."""
        return f"{self.ip(number)}:{self._front}"

    def start(self, number: int, is_first: bool) -> None:
        """Start one instance."""
        ip = self.ip(number)
        settings = {
            "NodeName": f"front-{number}",
            "Role": "entry",
            "MachineClass": "front",
            "Serves": "front",
            "Ip": ip,
            "Zone": ZONES[number],
            "Region": "perth",
            **{f"Zones.{zone}": "perth" for zone in ZONES},
            "ListenAddrs.Front": f"{ip}:{self._front}",
            "ListenAddrs.Ready": f"{ip}:{self._ready}",
            "InternalPorts": f"{self._peer},{self._peer + 15}",
            "Bootstrap": "true" if is_first else "false",
            "LossCounts": "false",
            "platform.Address": self._store,
            "CloudApi.Address": self._store,
            **BOUNDS,
        }
        path = self._folder / f"front-{number}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with (self._folder / f"front-{number}.log").open("ab") as log:
            self._processes[number] = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env={**environment, "JACKDAWSPREAD_CONFIG": str(path)},
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, number: int) -> None:
        """Wait until the readiness check is answered with 200."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready(number):
                await asyncio.sleep(0.1)

    async def _is_ready(self, number: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip(number), self._ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    def signal(self, number: int, name: signal.Signals) -> None:
        """Send a signal to the process of an instance."""
        self._processes[number].send_signal(name)

    def kill(self, number: int) -> None:
        """Kill an instance and wait for its end."""
        process = self._processes[number]
        if process.poll() is None:
            process.kill()
        process.wait()

    def exit_status(self, number: int) -> int | None:
        """Return the exit status of an instance, None while it runs."""
        return self._processes[number].poll()

    def close(self) -> None:
        """End all processes."""
        for number in self._processes:
            with suppress(ProcessLookupError):
                self.kill(number)
        self._reserved.close()


def _reserve_block() -> tuple[socket, int]:
    """Reserve a block of loopback addresses, as the port of the metrics is fixed.

    The socket holds the block against other runs until it is closed.
    """
    for block in range(130, 250):
        reserved = socket()
        try:
            reserved.bind((f"127.{block}.0.250", METRICS_PORT))
            for last in range(1, 6):
                with socket() as probe:
                    probe.bind((f"127.{block}.0.{last}", METRICS_PORT))
        except OSError:
            reserved.close()
            continue
        return reserved, block
    raise OSError("no block of addresses is free")


def _free_ports(ip: str) -> tuple[int, int, int]:
    ports = []
    with socket() as one, socket() as two, socket() as three:
        for probe in (one, two, three):
            probe.bind((ip, 0))
            ports.append(probe.getsockname()[1])
    return ports[0], ports[1], ports[2]
