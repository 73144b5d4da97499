"""Running deployment."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from tempfile import TemporaryDirectory
from typing import Any

from trio import current_time, sleep

from bench.bench_error import BenchError
from bench.client.json_call import call_once
from bench.launch.fleet_layout import FleetLayout
from bench.launch.layout import choose_layout
from bench.launch.process_set import PRODUCT, ProcessSet
from bench.launch.settings_files import write_settings
from bench.plans.deployment_plan import DeploymentPlan

READY_TIMEOUT_S = 20.0
POLL_S = 0.05
PRESET_TIMEOUT_S, PRESET_POLL_S = 10.0, 0.01
PRIMARY_TIMEOUT_S = 10.0


class FleetError(BenchError):
    """A process of the deployment did not come up."""


class Fleet:
    """Processes of a deployment and the means to disturb them.

    Parameters
    ----------
    plan : DeploymentPlan
        What was started.
    layout : FleetLayout
        Where it listens.
    processes : ProcessSet
        The processes, named ``platform``, ``DATABASE-N`` and ``entry-N``.
    settings : mapping of str to pathlib.Path
        Settings file of each instance.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        layout: FleetLayout,
        processes: ProcessSet,
        settings: Mapping[str, Path],
    ) -> None:
        self.plan = plan
        self.layout = layout
        self.processes = processes
        self._settings = settings

    def start_instance(self, name: str) -> None:
        """Start an entry instance, for the first time or after it has ended."""
        command = (*PRODUCT, "proxy", str(self._settings[name]))
        self.processes.start(name, command)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes.signal(name, SIGKILL)

    def freeze(self, name: str) -> None:
        """Stop a process until it is thawed."""
        self.processes.signal(name, SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process continue."""
        self.processes.signal(name, SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to stop in an orderly way."""
        self.processes.signal(name, SIGTERM)

    async def stop_instances(self, seconds: float = 8.0) -> list[str]:
        """Terminate the instances; return those that had to be killed."""
        for name in self.layout.instance_by_name:
            self.terminate(name)
        late = []
        for name in self.layout.instance_by_name:
            if not await self.processes.wait(name, seconds):
                self.kill(name)
                late.append(name)
        return late

    async def set_member_fault(self, name: str, fault: dict[str, Any]) -> None:
        """Set faults of a member."""
        for members in self.layout.members_by_database.values():
            if name in members:
                await _set_fault(members[name], fault)

    async def set_platform_fault(self, fault: dict[str, Any]) -> None:
        """Set a fault of the platform."""
        await _set_fault(self.layout.platform_address, fault)

    async def heal(self) -> None:
        """Thaw every process, and end the cuts of members and the outage."""
        for name in self.layout.instance_by_name:
            self.thaw(name)
        for members in self.layout.members_by_database.values():
            for name, address in members.items():
                self.thaw(name)
                if self.processes.running(name):
                    await _set_fault(address, {"cut": []})
        await self.set_platform_fault({"mode": "up"})

    async def incarnations(self) -> set[str]:
        """Return the ids under which members know the instances."""
        addresses = self.layout.instance_by_name.values()
        statuses = [await self._admin("GET", a.admin, "status") for a in addresses]
        # An instance that rejoins a view adds a suffix that members do not see.
        return {s["incarnation"].partition(".")[0] for s in statuses if s}

    async def change_preset(self, name: str) -> float:
        """Put a preset in force; return the seconds until all instances have it.

        Raises
        ------
        FleetError
            If an instance does not have it after 10 s.
        """
        addresses = [a.admin for a in self.layout.instance_by_name.values()]
        start = current_time()
        await self._admin("PUT", addresses[0], "preset", {"name": name})
        for address in addresses:
            while (await self._admin("GET", address, "presets")).get("preset") != name:
                if current_time() > start + PRESET_TIMEOUT_S:
                    raise FleetError(f"{address} does not have preset {name}")
                await sleep(PRESET_POLL_S)
        return current_time() - start

    async def _admin(
        self, method: str, address: str, route: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        headers = (("Authorization", f"Bearer {self.layout.operator_credential}"),)
        target = f"/v1/{route}"
        return (await call_once(address, method, target, body, headers, 2.0))[1]

    async def primary(self, database: str) -> str:
        """Return the member that is primary in the highest term, once there is one.

        Raises
        ------
        FleetError
            If no member says so within 10 s.
        """
        members = self.layout.members_by_database[database]
        deadline = current_time() + PRIMARY_TIMEOUT_S
        while True:
            found = []
            for name, address in members.items():
                status, body = await call_once(
                    address, "POST", "/status", {}, timeout=1
                )
                if status == 200 and body.get("role") == "primary":
                    found.append((int(body["term"]), name))
            if found:
                return max(found)[1]
            if current_time() > deadline:
                raise FleetError(f"no member of {database} says that it is primary")
            await sleep(POLL_S)

    async def wait_ready(self, spares: tuple[str, ...] = ()) -> None:
        """Wait until every instance but the spares is ready."""
        deadline = current_time() + READY_TIMEOUT_S
        for name, addresses in self.layout.instance_by_name.items():
            if name in spares:
                continue
            while (await call_once(addresses.caller, "GET", "/readyz"))[0] != 200:
                if current_time() > deadline or not self.processes.running(name):
                    tail = self.processes.log_tail(name)
                    raise FleetError(f"{name} is not ready; end of its log: {tail}")
                await sleep(POLL_S)


async def _set_fault(address: str, fault: dict[str, Any]) -> None:
    status, body = await call_once(address, "POST", "/fault", fault)
    if status != 200:
        raise FleetError(f"{address} refused the fault: status {status}, {body}")


@asynccontextmanager
async def open_fleet(
    plan: DeploymentPlan, experiment: Mapping[str, str] | None = None
) -> AsyncIterator[Fleet]:
    """Start a deployment, wait until it is ready, and end it afterwards.

    Parameters
    ----------
    plan : DeploymentPlan
        What to start.
    experiment : mapping of str to str, optional
        Options of the section ``[experiment]`` of every instance.
    """
    with TemporaryDirectory(prefix="jackdawspread-bench-") as path:
        directory = Path(path)
        with ProcessSet(directory) as processes:
            yield await start_fleet(plan, directory, processes, experiment)


async def start_fleet(
    plan: DeploymentPlan,
    directory: Path,
    processes: ProcessSet,
    experiment: Mapping[str, str] | None = None,
    spares: tuple[str, ...] = (),
) -> Fleet:
    """Start a deployment whose processes the caller ends.

    Parameters
    ----------
    plan : DeploymentPlan
        What to start.
    directory : pathlib.Path
        Takes the settings files.
    processes : ProcessSet
        Starts and ends the processes.
    experiment : mapping of str to str, optional
        Options of the section ``[experiment]`` of every instance.
    spares : tuple of str, optional
        Instances that have addresses and settings but are not started yet.
    """
    layout = choose_layout(plan)
    settings = write_settings(directory, plan, layout, experiment or {})
    fleet = Fleet(plan, layout, processes, settings)
    await _start_back_ends(fleet)
    for name in settings:
        if name not in spares:
            fleet.start_instance(name)
    await fleet.wait_ready(spares)
    return fleet


async def _start_back_ends(fleet: Fleet) -> None:
    started = {}
    if fleet.plan.starts_platform:
        address = fleet.layout.platform_address
        started["platform"] = address
        fleet.processes.start("platform", (*PRODUCT, "standin-platform", address))
    for database in fleet.plan.databases:
        for name, address in fleet.layout.members_by_database[database.name].items():
            options = database.member_options
            if options:
                options += (
                    f"--name={name}",
                    f"--slots={database.slots}",
                    f"--connections={database.connections}",
                )
            command = (*PRODUCT, "standin-member", address, *options)
            fleet.processes.start(name, command)
            started[name] = address
    await _wait_listening(fleet, started)


async def _wait_listening(fleet: Fleet, address_by_name: dict[str, str]) -> None:
    deadline = current_time() + READY_TIMEOUT_S
    for name, address in address_by_name.items():
        while not (await call_once(address, "GET", "/healthz", timeout=1))[0]:
            if current_time() > deadline or not fleet.processes.running(name):
                tail = fleet.processes.log_tail(name)
                raise FleetError(f"{name} does not listen; end of its log: {tail}")
            await sleep(POLL_S)
