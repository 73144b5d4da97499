"""A key passes to another tenant while a transaction is open."""

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path
from tempfile import TemporaryDirectory

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "8"))

from fleet import ZONES, Fleet  # noqa: E402
from standins import Client, Group, Store  # noqa: E402

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


def configuration(version: int, holder_of_key: str) -> dict:
    """Return a configuration in which one of two tenants holds the key."""
    keys = {"orchard": ["key-orchard"], "harbour": [OTHER_KEY]}
    keys[holder_of_key].append(KEY)
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "claims",
                "Host": "claims",
                "RouteType": "primary",
                "Service": "ledger",
                "TimeoutMs": 800 + version,
                "TargetLatencyMs": 120,
                "MaxStalenessMs": 0,
                "Priority": 1,
                "Public": False,
            }
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
        store.put("op", "config", configuration(3, "orchard"))
        for number in range(INSTANCES):
            fleet.start(number, is_first=True)
        for number in range(INSTANCES):
            await fleet.wait_until_ready(number)
        await asyncio.sleep(4.0)
        return await change_holder(store, group, fleet)
    finally:
        fleet.close()


async def change_holder(store: Store, group: Group, fleet: Fleet) -> int:
    """Change the holder of the key within a transaction and judge what runs."""
    client = await Client.open(fleet.front(0), "claims", KEY)
    if client is None:
        note("the session was not opened")
        return 2
    begun = await ask(client, "a0", "BEGIN")
    written = await ask(client, "a1", "WRITE packet-1 claimed")
    if not begun[0].startswith("DONE") or not written[0].startswith("DONE"):
        return 2
    holder = "harbour" if TROUBLE else "orchard"
    store.put("op", "config", configuration(7, holder))
    acked_at = time.monotonic()
    note(f"configuration 7 acked, the key is held by {holder}")
    sent_at = {}
    for number, pause_s in enumerate(PAUSES_S, 2):
        await asyncio.sleep(pause_s)
        is_last = number == len(PAUSES_S) + 1
        sent_at[f"a{number}"] = time.monotonic()
        text = "COMMIT" if is_last else f"WRITE packet-{number} claimed"
        await ask(client, f"a{number}", text)
    client.close()
    # The change is in force: new work of the key runs for its new holder.
    other = await Client.open(fleet.front(0), "claims", KEY)
    if other is None or not (await ask(other, "b0", "READ packet-1"))[-1]:
        return 2
    status = 0
    for at, member, tenant, id, text in group.runs:
        note(f"at {at - BEGAN:.3f} s {member} runs {id} {text} for tenant {tenant}")
        is_late = sent_at.get(id, 0.0) > acked_at + CONFIG_APPLY_S
        if is_late and tenant != holder:
            note(f"UNASKED: {id} ran for {tenant}, the key is held by {holder}")
            status = 1
    if "b0" not in {run[3] for run in group.runs}:
        return 2
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
