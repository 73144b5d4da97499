"""A route and a key are taken away while a transaction is open."""

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path
from tempfile import TemporaryDirectory

from fleet import ZONES, Fleet
from standins import Client, Group, Store

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_APPLY_S = 3.0
KEY, OTHER_KEY = "key-7f3a91c2", "key-0b44d1e9"
INSTANCES = 2
# Statements of the transaction after the change, with the pauses before them; each is
# below TxIdleMs, and a transaction has up to 12 statements.
PAUSES_S = (0.5, 1.5, 1.5, 1.0, 1.0, 0.5)
RECORD: list[str] = []
BEGAN = time.monotonic()


def note(text: str) -> None:
    """Add a line to the record."""
    RECORD.append(f"{time.monotonic() - BEGAN:8.3f} s  {text}")


def configuration(version: int, leaver_is_there: bool) -> dict:
    """Return a configuration with the route and the key of a tenant, or without."""
    databases = ["claims", "orders"] if leaver_is_there else ["orders"]
    keys = {"orchard": [KEY] if leaver_is_there else [], "harbour": [OTHER_KEY]}
    return {
        "Version": version,
        "Routes": [
            {
                "Name": database,
                "Host": database,
                "RouteType": "primary",
                "Service": "ledger",
                "TimeoutMs": 800 + version,
                "TargetLatencyMs": 120,
                "MaxStalenessMs": 0,
                "Priority": 1,
                "Public": False,
            }
            for database in databases
        ],
        "Services": [{"Name": "ledger", "MaxConns": 16, "SyncReplicas": 1}],
        "Limits": {"TxIdleMs": 3000},
        "Tenants": [
            {"Name": name, "ApiKeys": held, "RatePerS": 100, "Burst": 100}
            for name, held in keys.items()
        ],
    }


async def ask(client: Client, id: str, text: str) -> list[str]:
    """Send a statement and record it with its answer."""
    note(f"client sends {id} {text}")
    answer = await client.query(id, text)
    note(f"client gets for {id}: {' | '.join(answer)}")
    return answer


async def play(folder: Path) -> int:
    """Run the case; return the exit status."""
    store = Store()
    group = Group("ledger", store)
    fleet = Fleet(folder, await store.start("127.0.0.1"))
    try:
        await group.start(ZONES[1:], "127.0.0.1")
        store.put("op", "config", configuration(3, leaver_is_there=True))
        for number in range(INSTANCES):
            fleet.start(number, is_first=True)
        for number in range(INSTANCES):
            await fleet.wait_until_ready(number)
        await asyncio.sleep(4.0)
        return await take_away(store, group, fleet)
    finally:
        fleet.close()


async def take_away(store: Store, group: Group, fleet: Fleet) -> int:
    """Take a tenant's route and key away in its transaction, and judge what runs."""
    client = await Client.open(fleet.front(0), "claims", KEY)
    if client is None:
        note("the session was not opened")
        return 2
    begun = await ask(client, "a0", "BEGIN")
    written = await ask(client, "a1", "WRITE packet-1 claimed")
    if not begun[0].startswith("DONE") or not written[0].startswith("DONE"):
        return 2
    store.put("op", "config", configuration(7, leaver_is_there=not TROUBLE))
    acked_at = time.monotonic()
    note("configuration 7 acked, " + ("without the key" if TROUBLE else "with the key"))
    sent_at = {}
    for number, pause_s in enumerate(PAUSES_S, 2):
        await asyncio.sleep(pause_s)
        is_last = number == len(PAUSES_S) + 1
        sent_at[f"a{number}"] = time.monotonic()
        text = "COMMIT" if is_last else f"WRITE packet-{number} claimed"
        await ask(client, f"a{number}", text)
    client.close()
    # The change is in force: new work with the key is refused.
    other = await Client.open(fleet.front(0), "claims", KEY)
    note(f"a new session with the key is {'refused' if other is None else 'opened'}")
    if (other is None) != TROUBLE:
        return 2
    status = 0
    for at, member, tenant, id, text in group.runs:
        note(f"at {at - BEGAN:.3f} s {member} runs {id} {text} for tenant {tenant}")
        if TROUBLE and sent_at.get(id, 0.0) > acked_at + CONFIG_APPLY_S:
            note(f"CONFIG: {id} ran with a key that was taken away")
            status = 1
    return status


def main() -> int:
    """Run the case, write the record and return the exit status."""
    try:
        with TemporaryDirectory() as folder:
            status = asyncio.run(asyncio.wait_for(play(Path(folder)), 100))
    except Exception:
        note(traceback.format_exc())
        status = 2
    note(f"exit status {status}, trouble {TROUBLE}")
    (HERE / "record.txt").write_text("\n".join(RECORD) + "\n")
    return status


if __name__ == "__main__":
    sys.exit(main())
