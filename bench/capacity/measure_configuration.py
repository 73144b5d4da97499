"""Cost of the configuration document by number of workspaces and keys."""

import tracemalloc
from collections.abc import Callable
from hashlib import sha256
from time import perf_counter

from trio import open_memory_channel

from bench.runs.summary import Row
from jackdawspread.codecs.json_body import decode_json
from jackdawspread.codecs.peer_frames import decode_batch, encode_batch, encode_frame
from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.configuration_push import ConfigurationPush
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.key_document import KeyDocument
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember
from jackdawspread.messages.workspace_document import WorkspaceDocument
from jackdawspread.tasks.peer_client import PeerClientEvent
from jackdawspread.tasks.workspace_rate_limiters import WorkspaceRateLimiters

SIZES = (10, 100, 1_000, 10_000)
REPEATS = 3
GROUP = 8


async def measure_configuration() -> list[Row]:
    """Return one row for each number of workspaces, each with one key."""
    return [_measure(size) for size in SIZES]


def _measure(size: int) -> Row:
    document = _document(size)
    stored = encode_json(document)
    push = ConfigurationPush(document)
    frames = [encode_frame(push, 0.0)]
    batch = encode_batch(frames)
    tracemalloc.start()
    held = decode_json(stored, ConfigurationDocument)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held.is_ok()
    return {
        "workspaces": size,
        "json_bytes": len(stored),
        "push_bytes": len(batch),
        "memory_bytes": memory,
        "decode_ms": _best_ms(lambda: decode_json(stored, ConfigurationDocument)),
        "push_encode_ms": _best_ms(lambda: encode_batch(frames)),
        "push_decode_ms": _best_ms(lambda: decode_batch(batch, 0.0)),
        "limits_ms": _best_ms(lambda: _use(document)),
    }


def _use(document: ConfigurationDocument) -> None:
    """Compute the shares of all workspaces, as a gateway does on each version."""
    peer_client, _ = open_memory_channel[PeerClientEvent](1)
    limits = WorkspaceRateLimiters("127.0.0.1:1", peer_client, _ignore, _ignore)
    members = {f"i{n}": ViewMember(f"127.0.0.1:{n}", "a") for n in range(GROUP)}
    views = (View(1, members),)
    limits.use_snapshot(ControlSnapshot("i1", 0.0, document, frozenset(), views, {}))


def _ignore(id: str) -> None:
    return


def _document(size: int) -> ConfigurationDocument:
    document = initial_configuration()
    names = [f"branch{n}" for n in range(size)]
    document["workspace_by_name"] = {
        name: WorkspaceDocument(overrides={"rate": 50.0, "burst": 101}, databases=[])
        for name in names
    }
    document["key_by_id"] = {
        sha256(name.encode()).hexdigest(): KeyDocument(workspace=name, withdrawn=False)
        for name in names
    }
    return document


def _best_ms(work: Callable[[], object]) -> float:
    durations = []
    for _ in range(REPEATS):
        start = perf_counter()
        work()
        durations.append(perf_counter() - start)
    return round(1000 * min(durations), 3)
