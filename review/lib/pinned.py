"""A busy replica refuses the preparation of a connection, which the proxy forgets.

Usage: pinned.py FOLDER; TROUBLE=0 leaves the busy moment out. Exit status: 1 if the
rule PINNED was broken, 0 if not, 2 if the case could not run.
"""

import asyncio
import os
import sys
from itertools import count
from pathlib import Path

from standins import Client, Group, Instances, Record, Store, configuration

BUSY_S = 0.4
# Sessions, each of another tenant.
SESSIONS = 3
# Reads of a session between two changes of its value.
READS = 6
KEY = "key0"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def main(folder: Path) -> int:
    record = Record(folder / "record.txt")
    store = Store()
    address = await store.listen("127.0.0.1")
    group = Group(store, record)
    await group.start("127.0.0.1")
    store.put("op", "config", configuration())
    instances = Instances(record, address)
    acknowledged: dict[str, dict[str, str]] = {}
    broken: list[str] = []
    runs = 0

    def check(run: dict) -> None:
        nonlocal runs
        expected = acknowledged.get(run["id"])
        if expected is None:
            return
        runs += 1
        if run["values"] != expected:
            broken.append(run["id"])
            record.write(
                f"PINNED broken: {run['id']} {run['text']!r} ran at {run['member']} "
                f"with values {run['values']}, acknowledged were {expected}"
            )

    group.on_run = check
    try:
        instances.start(1)
        await instances.wait_until_serving(1, KEY)

        async def use(number: int, until: float) -> None:
            """Set a value, wait for its acknowledgement, and read with it."""
            client = Client(record, f"s{number}")
            opened = await client.open(
                instances.address(1), "session-db", f"key{number}"
            )
            assert opened.startswith("READY"), opened
            for turn in count():
                answer = await client.query(f"SET zone z{number}-{turn}")
                assert answer[0].startswith("DONE"), answer
                for _ in range(READS):
                    if asyncio.get_running_loop().time() >= until:
                        return
                    id = client.next_id()
                    acknowledged[id] = {"zone": f"z{number}-{turn}"}
                    await client.query("READ item", id)
                    await asyncio.sleep(0.03)

        async def write(until: float) -> None:
            """Write at the primary, so that replicas are known to be recent."""
            client = Client(record, "writer")
            await client.open(instances.address(1), "primary-db", KEY)
            while asyncio.get_running_loop().time() < until:
                await client.query("WRITE other x")
                await asyncio.sleep(0.1)

        until = asyncio.get_running_loop().time() + 8
        tasks = [asyncio.create_task(use(n, until)) for n in range(SESSIONS)]
        tasks.append(asyncio.create_task(write(until)))
        await asyncio.sleep(3)
        if TROUBLE:
            record.write(f"replicas m1 and m2 are busy for {BUSY_S} s")
            group.busy = {"m1", "m2"}
            await asyncio.sleep(BUSY_S)
            group.busy = set()
            record.write("replicas are no longer busy")
        await asyncio.gather(*tasks)
    except Exception as error:  # noqa: BLE001
        record.write(f"could not run: {error!r}")
        return 2
    finally:
        instances.end()
    record.write(f"statements checked {runs}, with other values {len(broken)}")
    if runs < 100:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(Path(sys.argv[1]))))
