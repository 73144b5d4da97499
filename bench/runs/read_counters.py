"""Counters of the instances."""

from collections import Counter

from prometheus_client.parser import text_string_to_metric_families

from bench.client.http_connection import HttpConnection
from bench.launch.fleet import Fleet

COLUMN_BY_SAMPLE = {
    "jackdawspread_owner_promotions_total": "promotions",
    "jackdawspread_owner_false_alarms_total": "false_alarms",
    "jackdawspread_owner_repeats_total": "repeats",
    "jackdawspread_reroutes_total": "reroutes",
}
TIMEOUT_S = 2.0


async def read_counters(fleet: Fleet) -> dict[str, float]:
    """Return sums over the instances that answer."""
    totals: Counter[str] = Counter(dict.fromkeys(COLUMN_BY_SAMPLE.values(), 0))
    for addresses in fleet.layout.instance_by_name.values():
        connection = HttpConnection(addresses.caller)
        reply = await connection.call("GET", "/metrics", b"", (), TIMEOUT_S)
        await connection.aclose()
        if reply.status != 200:
            continue
        for family in text_string_to_metric_families(reply.body.decode()):
            for sample in family.samples:
                column = COLUMN_BY_SAMPLE.get(sample.name)
                if column:
                    totals[column] += int(sample.value)
    return dict(totals)
