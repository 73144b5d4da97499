"""Check of the stated age of reads."""

from typing import Any, NamedTuple

from trio import current_time, open_nursery, sleep

from bench.client.http_connection import HttpConnection
from bench.client.json_call import call_json

# With this age, reads differ from those without one, and a replica that is far
# behind must not serve them.
MAX_STALENESS_MS = 300
WRITE_PAUSE_S, READ_PAUSE_S = 0.05, 0.1
TABLE = "CREATE TABLE IF NOT EXISTS ages (id INTEGER PRIMARY KEY, number INTEGER)"
WRITE = "INSERT OR REPLACE INTO ages (id, number) VALUES (1, ?)"
READ = "SELECT coalesce(max(number), 0) FROM ages"


class AgeReport(NamedTuple):
    """Reads made, and those that lacked a write older than the stated age."""

    reads: int = 0
    too_old: int = 0


class AgeProbe:
    """Writes rising numbers to one database and reads them at every instance.

    A read must show every number acknowledged more than the stated age before
    the read was sent. The readers carry no session token, so that only the age
    makes them see a write.

    Parameters
    ----------
    instances : list of str
        ``IP:port`` of the instances.
    database : str
        Database to use.
    key : str
        Key of a workspace.
    """

    def __init__(self, instances: list[str], database: str, key: str) -> None:
        self._instances = instances
        self._target = f"/v1/databases/{database}"
        self._authorization = ("Authorization", f"Bearer {key}")
        self._acknowledged: list[tuple[float, int]] = [(0.0, 0)]
        self.report = AgeReport()

    async def create_table(self) -> None:
        """Create the table."""
        connection = HttpConnection(self._instances[0])
        await self._write(connection, "age-table", TABLE, [])
        await connection.aclose()

    async def run(self) -> None:
        """Write and read until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._keep_writing)
            for address in self._instances:
                nursery.start_soon(self._keep_reading, address)

    async def _keep_writing(self) -> None:
        connection = HttpConnection(self._instances[0])
        number = 0
        while True:
            number += 1
            if await self._write(connection, f"age-{number}", WRITE, [number]):
                self._acknowledged.append((current_time(), number))
            await sleep(WRITE_PAUSE_S)

    async def _write(
        self, connection: HttpConnection, id: str, sql: str, parameters: list[int]
    ) -> bool:
        headers = (self._authorization, ("Idempotency-Key", id))
        body = {"statements": [{"sql": sql, "parameters": parameters}]}
        target = f"{self._target}/write"
        status, _ = await call_json(connection, "POST", target, body, headers)
        return status == 200

    async def _keep_reading(self, address: str) -> None:
        connection = HttpConnection(address)
        headers = (self._authorization, ("Max-Staleness-Ms", str(MAX_STALENESS_MS)))
        body: dict[str, Any] = {"sql": READ, "parameters": []}
        target = f"{self._target}/read"
        while True:
            required_at = current_time() - MAX_STALENESS_MS / 1000
            status, answer = await call_json(connection, "POST", target, body, headers)
            if status == 200:
                self._count(int(answer["results"][0]["rows"][0][0]), required_at)
            await sleep(READ_PAUSE_S)

    def _count(self, number: int, required_at: float) -> None:
        required = max(n for at, n in self._acknowledged if at <= required_at)
        reads, too_old = self.report
        self.report = AgeReport(reads + 1, too_old + (number < required))
