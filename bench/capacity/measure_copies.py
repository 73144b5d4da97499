"""Size and cost of copies of the configuration by number of routes."""

from base64 import b64encode
from collections.abc import Callable
from random import Random
from time import perf_counter

from msgspec.json import encode

from bench.runs.summary import Row
from jackdawspread.codecs.configuration_copies import (
    configuration_revision,
    decode_changes,
    encode_changes,
)
from jackdawspread.decisions.store_reads.configuration_changes import (
    EMPTY_CONFIGURATION,
    apply_changes,
    configuration_changes,
)
from jackdawspread.platform.configuration_rows import decode_configuration

SIZES = (50, 500, 1_400, 5_200)
GROUPS = 8
WORKSPACES = 77
REPEATS = 3
SEED = 1


async def measure_copies() -> list[Row]:
    """Return one row for each number of routes."""
    return [_measure(size) for size in SIZES]


def _measure(size: int) -> Row:
    stored = encode(_document(size + 1))
    smaller = encode(_document(size))
    old, new = decode_configuration(smaller), decode_configuration(stored)
    complete = encode_changes(configuration_changes(EMPTY_CONFIGURATION, new))
    one_route = encode_changes(configuration_changes(old, new))
    return {
        "routes": size,
        "store_bytes": len(b64encode(stored)),
        "copy_bytes": len(complete),
        "one_route_bytes": len(one_route),
        "read_ms": _best_ms(
            lambda: configuration_revision(decode_configuration(stored))
        ),
        "encode_copy_ms": _best_ms(
            lambda: encode_changes(configuration_changes(EMPTY_CONFIGURATION, new))
        ),
        "use_copy_ms": _best_ms(
            lambda: apply_changes(EMPTY_CONFIGURATION, decode_changes(complete))
        ),
        "encode_one_route_ms": _best_ms(
            lambda: encode_changes(configuration_changes(old, new))
        ),
        "use_one_route_ms": _best_ms(
            lambda: apply_changes(old, decode_changes(one_route))
        ),
    }


def _document(routes: int) -> dict[str, object]:
    random = Random(SEED)
    return {
        "Version": routes,
        "Routes": [
            {
                "Name": f"r-{random.randrange(10**6)}",
                "Host": f"database{random.randrange(10**9)}",
                "RouteType": random.choice(("primary", "bounded", "session")),
                "Service": f"group{random.randrange(GROUPS)}",
                "TimeoutMs": 1000,
                "TargetLatencyMs": 250,
                "MaxStalenessMs": 1500,
                "Priority": 1,
                "Public": False,
            }
            for _ in range(routes)
        ],
        "Services": [{"Name": f"group{n}", "MaxConns": 75} for n in range(GROUPS)],
        "Limits": {"TxIdleMs": 3000},
        "Tenants": [
            {
                "Name": f"workspace{number}",
                "ApiKeys": [f"key-{number:032x}"],
                "RatePerS": 20,
                "Burst": 20,
            }
            for number in range(WORKSPACES)
        ],
    }


def _best_ms(function: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        start = perf_counter()
        function()
        times.append(1000 * (perf_counter() - start))
    return round(min(times), 2)
