"""Bytes of control and statement messages, without TCP and IP headers."""

from expression import Ok

from bench.runs.summary import Row
from jackdawspread.codecs.http_client_codec import HttpClientCodec
from jackdawspread.codecs.http_server_codec import HttpServerCodec
from jackdawspread.codecs.peer_frames import PeerContent, encode_batch, encode_frame
from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.heartbeat_answer import HeartbeatAnswer
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.statement import Statement
from jackdawspread.messages.statement_result import StatementResult
from jackdawspread.messages.term_announcement import TermAnnouncement

INCARNATION = "0123456789abcdef"
ADDRESS = "127.0.0.1:40000"
# Prefix of a gRPC message and header of the HTTP/2 data frame that carries it.
GRPC_BYTES = 5 + 9
STATUS = {
    "member": "swap1-1",
    "role": "primary",
    "term": 1024,
    "promised": 1024,
    "position": [1024, 100_000],
    "applied": [1024, 100_000],
    "upstream_age_ms": None,
    "connections": 16,
    "running": 2,
}


async def measure_wire() -> list[Row]:
    """Return one row for each message."""
    request = RoutedRequest(
        id=f"{INCARNATION}-1000",
        kind=RequestKind.READ,
        workspace="garden1",
        key_id="a" * 64,
        database="swap1",
        statements=(Statement("SELECT 1 AS one", ()),),
        idempotency_key="",
        position=None,
        max_staleness=None,
        deadline=5.0,
        transaction_id="",
        page_rows=1000,
        offset=0,
    )
    result = StatementResult(("one",), ((1,),), 0)
    answer = Answer((result,), served_by=ADDRESS, role="primary")
    frames: tuple[PeerContent, ...] = (
        Heartbeat(INCARNATION, 10, 1000, 100),
        HeartbeatAnswer(INCARNATION, 10, 10, 1000, 100),
        TermAnnouncement("swap1", 1024, ADDRESS),
        request,
        RoutedReply(request.id, Ok(answer)),
    )
    rows: list[Row] = [
        {"message": type(frame).__name__, "bytes": _frame_bytes(frame)}
        for frame in frames
    ]
    rows.append({"message": "probe", "bytes": _call_bytes("/status", b"{}", STATUS)})
    for databases in (1, 3, 10, 30):
        rows.append({"message": f"poll of {databases}", "bytes": _poll(databases)})
    return rows


def _frame_bytes(content: PeerContent) -> int:
    return GRPC_BYTES + len(encode_batch([encode_frame(content, 0.0)]))


def _poll(databases: int) -> int:
    """Bytes of a poll and its answer but for the value of the configuration."""
    names = [f"database/swap{n}" for n in range(databases)]
    keys = encode_json({"keys": ["view", "configuration", *names]})
    member = {"peer_address": ADDRESS, "failure_domain": "zone-a"}
    view = {"epoch": 10, "members": {f"{n:016}": member for n in range(8)}}
    seat = {
        "generation": 10,
        "seats": [INCARNATION] * 3,
        "term": 10_240,
        "primary": ADDRESS,
        "write_id": f"{INCARNATION}-1000",
    }
    values = {"view": view, "configuration": {}, **dict.fromkeys(names, seat)}
    rows = {name: {"version": 10, "value": value} for name, value in values.items()}
    return _call_bytes("/table/read", keys, {"rows": rows})


def _call_bytes(target: str, body: bytes, answer: object) -> int:
    client, server = HttpClientCodec(ADDRESS), HttpServerCodec()
    call = client.encode("POST", target, body)
    server.receive(call)
    server.next_request()
    headers = (("Content-Type", "application/json"),)
    reply = server.encode(HttpResponse(200, headers, encode_json(answer)), False)
    return len(call) + len(reply)
