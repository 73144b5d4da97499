"""Fleet of real processes as the steps of a feature use it."""

from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from trio import current_time, sleep

from bench.check.member_log import MemberLog, read_member_log
from bench.client.json_call import call_once
from bench.client.proxy_caller import ProxyCaller
from bench.client.typed_reply import TypedReply
from bench.launch.fleet import Fleet, start_fleet
from bench.launch.loop_thread import LoopThread
from bench.launch.process_set import ProcessSet
from bench.operations.sql import SALTBUSH_TABLES
from bench.plans.deployments import SALTBUSH

PLAN = SALTBUSH._replace(databases=SALTBUSH.databases[:2], instances=5)
ENTRIES = ("entry-1", "entry-2", "entry-3", "entry-4")
SPARES = ("entry-5",)
# Every promise "within seconds" is waited for this long, so that a busy machine
# raises no false alarm.
PATIENCE_S = 15.0
POLL_S = 0.1


class ProcessWorld:
    """Starts four entry instances, two databases of three members, one platform."""

    def __init__(self) -> None:
        self._directory = TemporaryDirectory(prefix="jackdawspread-feature-")
        self.processes = ProcessSet(Path(self._directory.name))
        self.loop = LoopThread()
        self.replies: list[TypedReply] = []
        self.is_loading = False
        self.writers = 0
        self._ids = count(1)
        self.key = self.key_id = ""
        self.fleet: Fleet
        self.frozen: set[str] = set()
        self.faulty: set[str] = set()

    def start(self) -> None:
        """Start the fleet with one workspace, its key and the tables."""
        self.loop.call(self._start)

    async def _start(self) -> None:
        directory = Path(self._directory.name)
        self.fleet = await start_fleet(PLAN, directory, self.processes, None, SPARES)
        await self.settled(ENTRIES)
        self.key, self.key_id = await self.workspace("branch", 1000.0, 2000)
        for database in self.fleet.layout.members_by_database:
            body = {"statements": [{"sql": text} for text in SALTBUSH_TABLES]}
            target = f"/v1/databases/{database}/write"

            async def created(target: str = target, body: Any = body) -> bool:
                caller = self.caller("entry-1")
                return (await caller.call("POST", target, body, "tables")).status == 200

            await self.eventually(created, "the tables are created")

    def close(self) -> None:
        """End every process by its id."""
        self.loop.stop()
        with self.processes:
            pass
        self._directory.cleanup()

    def recover(self) -> None:
        """End load and faults, and bring the four instances back."""
        self.loop.call(self._recover)

    async def _recover(self) -> None:
        for name in tuple(self.frozen):
            self.thaw(name)
        for name in tuple(self.faulty):
            await self.fault(name, {"cut": [], "service_ms": 2})
        await self.fleet.set_platform_fault({"mode": "up", "delay_ms": 0})
        await self.stop_load()
        for name in SPARES:
            if name in self.processes.names() and self.processes.running(name):
                self.fleet.terminate(name)
                assert await self.processes.wait(name, PATIENCE_S), name
        for name in ENTRIES:
            if not self.processes.running(name):
                self.fleet.start_instance(name)
        await self.settled(ENTRIES)

    def freeze(self, name: str) -> None:
        """Stop a process until `thaw` or the end of the scenario."""
        self.frozen.add(name)
        self.fleet.freeze(name)

    def thaw(self, name: str) -> None:
        """Let a process continue."""
        self.frozen.discard(name)
        self.fleet.thaw(name)

    async def fault(self, member: str, body: dict[str, Any]) -> None:
        """Set a fault of a member, which ends with the scenario."""
        self.faulty.add(member)
        await self.fleet.set_member_fault(member, body)

    async def settled(self, entries: tuple[str, ...]) -> None:
        """Wait until the instances share a settled view and serve all databases."""

        async def is_settled() -> bool:
            found = [await self.status(name) for name in entries]
            return all(
                len(body.get("members", ())) == len(entries)
                and body["is_settled"]
                and body["epoch"] == found[0]["epoch"]
                and body["is_platform_up"]
                and all(
                    d["live_addresses"] and d["is_settled"] and d["primary"]
                    for d in body["databases"].values()
                )
                for body in found
            )

        await self.eventually(is_settled, f"{entries} are settled", 2 * PATIENCE_S)

    async def rejoined(self, entry: str) -> None:
        """Wait until an instance serves with authority again."""

        async def serves() -> bool:
            return (await self.claim(entry)).status == 200

        await self.eventually(serves, f"{entry} serves again", 2 * PATIENCE_S)

    async def eventually(
        self,
        check: Callable[[], Awaitable[Any]],
        what: str,
        patience: float = PATIENCE_S,
    ) -> Any:
        """Poll until a check holds and return what it returned."""
        deadline = current_time() + patience
        while not (found := await check()):
            assert current_time() < deadline, f"not within {patience:g} s: {what}"
            await sleep(POLL_S)
        return found

    async def admin(
        self, entry: str, method: str, target: str, body: Any = None, timeout: float = 8
    ) -> tuple[int, dict[str, Any]]:
        """Make an operator's call."""
        headers = (
            ("Authorization", f"Bearer {self.fleet.layout.operator_credential}"),
        )
        address = self.fleet.layout.instance_by_name[entry].admin
        return await call_once(address, method, target, body, headers, timeout)

    async def status(self, entry: str) -> dict[str, Any]:
        """Return what an instance knows, or nothing."""
        return (await self.admin(entry, "GET", "/v1/status", timeout=1))[1]

    async def change(self, method: str, target: str, body: Any) -> dict[str, Any]:
        """Make a change, again while it is refused because of the platform."""

        async def changed() -> dict[str, Any]:
            status, answer = await self.admin("entry-1", method, target, body)
            assert status == 200 or answer.get("code") == "platform_unavailable", answer
            return answer if status == 200 else {}

        return dict(await self.eventually(changed, f"{method} {target}"))

    async def workspace(self, name: str, rate: float, burst: int) -> tuple[str, str]:
        """Create a workspace; return a key and its id once all instances know it."""
        body = {"name": name, "rate": rate, "burst": burst}
        await self.change("POST", "/v1/workspaces", body)
        return await self.issue_key(name)

    async def issue_key(self, workspace: str) -> tuple[str, str]:
        """Issue a key; return it and its id once all instances know it."""
        target = f"/v1/workspaces/{workspace}/keys"
        answer = await self.change("POST", target, {})

        async def known() -> bool:
            versions = [(await self.status(e)).get("version", 0) for e in ENTRIES]
            return min(versions) >= answer["version"]

        await self.eventually(known, "the key is known")
        return str(answer["key"]), str(answer["key_id"])

    async def owner(self, database: str) -> str:
        """Return the instance that owns a database."""
        status = await self.status("entry-1")
        address = status["databases"][database]["live_addresses"][0]
        layout = self.fleet.layout.instance_by_name
        return next(name for name, at in layout.items() if at.peer == address)

    def caller(self, entry: str, key: str | None = None) -> ProxyCaller:
        """Return a caller of an instance."""
        address = self.fleet.layout.instance_by_name[entry].caller
        return ProxyCaller(entry, address, self.key if key is None else key)

    def new_id(self) -> str:
        """Return a request id that the feature has not used yet."""
        return f"request-{next(self._ids)}"

    async def claim(self, entry: str, database: str = "swap1") -> TypedReply:
        """Make one claim and keep its reply."""
        reply = await self.caller(entry).claim(database, self.new_id())
        self.replies.append(reply)
        return reply

    async def claim_until_served(self, entry: str, database: str) -> None:
        """Make claims until one is acknowledged."""

        async def served() -> bool:
            return (await self.claim(entry, database)).status == 200

        await self.eventually(served, f"{entry} serves {database}")

    def start_load(self, entries: tuple[str, ...], databases: tuple[str, ...]) -> None:
        """Start one writer for each instance and database."""
        self.is_loading = True
        for entry in entries:
            for database in databases:
                self.writers += 1
                self.loop.start(self._write, entry, database)

    async def _write(self, entry: str, database: str) -> None:
        caller = self.caller(entry)
        while self.is_loading:
            self.replies.append(await caller.claim(database, self.new_id(), 3000))
            await sleep(0.01)
        await caller.connection.aclose()
        self.writers -= 1

    async def stop_load(self) -> None:
        """End the writers after their current request."""
        self.is_loading = False

        async def ended() -> bool:
            return self.writers == 0

        await self.eventually(ended, "the writers end")

    async def acknowledged_after(self, number: int) -> None:
        """Wait until so many more writes are acknowledged."""
        wanted = len(self.acknowledged()) + number

        async def reached() -> bool:
            return len(self.acknowledged()) >= wanted

        await self.eventually(reached, f"{number} more acknowledged writes")

    def acknowledged(self) -> list[TypedReply]:
        """Return the replies of success."""
        return [reply for reply in self.replies if reply.status == 200]

    async def logs(self, database: str) -> dict[str, MemberLog]:
        """Return the logs of the members of a database that run."""
        members = self.fleet.layout.members_by_database[database]
        return {
            name: await read_member_log(address)
            for name, address in members.items()
            if self.processes.running(name) and name not in self.frozen
        }

    async def agreed_logs(self, database: str) -> dict[str, MemberLog]:
        """Wait until all members hold the same log and return the logs."""
        found: dict[str, MemberLog] = {}

        async def agree() -> bool:
            found.update(await self.logs(database))
            committed = [log.committed for log in found.values()]
            return all(entries == committed[0] for entries in committed)

        await self.eventually(agree, f"the logs of {database} agree")
        return found
