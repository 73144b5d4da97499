"""Steps that pass generated input to the decoders of bytes, bodies and settings."""

from collections.abc import Callable
from math import isfinite
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then
from behave.runner import Context
from features.support.caller_wire_fuzz import fuzz_caller_wire
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec import json, msgpack

from jackdawspread.codecs.admin_api import decode_admin_request
from jackdawspread.codecs.caller_requests import decode_caller_request
from jackdawspread.codecs.http_server_codec import MAX_BODY_BYTES, HttpServerCodec
from jackdawspread.codecs.member_protocol import decode_outcome, decode_status
from jackdawspread.codecs.peer_frames import decode_batch
from jackdawspread.codecs.session_token import SessionTokenCodec
from jackdawspread.decisions.admission import admit
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.decisions.owner.member_answer import MemberAnswer
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.caller_request import CallerRequest
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.session import Session
from jackdawspread.settings.instance_settings_file import read_instance_settings

Fuzz = Callable[[], None]
DEEPLY_NESTED_BODY = b'{"sql": "x", "other": ' + b"[" * 5000 + b"]" * 5000 + b"}"
LONG_NUMBER = "1" * 5000
HUGE_NUMBER = 10**400

hypothesis_settings = settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
numbers = st.integers(-(2**63), 2**64 - 1) | st.floats()
scalars = st.none() | st.booleans() | numbers | st.text(max_size=8)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
latin = st.text(st.characters(max_codepoint=255), max_size=20)


def fields(*names: str) -> st.SearchStrategy[dict[str, object]]:
    """Generate objects with some of the fields, whose values have any type."""
    return st.dictionaries(st.sampled_from(names), values, max_size=len(names))


REQUESTS = (
    b"POST /v1/databases/d/read HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}",
    b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\nx\r\n0\r\n\r\n",
    b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
    b"HEAD /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
    b"CONNECT /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: b\r\nConnection: upgrade\r\n\r\n",
    b"GET / HTTP/1.0\r\n\r\n",
    b"GET /\\x HTTP/1.1\r\nbad\\header\x01\r\n\r\n",
)
LARGE_REQUEST_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (
    MAX_BODY_BYTES + 1
)


def run_server_codec(data: bytes, cuts: list[int]) -> list[HttpRequest | int]:
    """Pass bytes to the codec in pieces, and answer requests as a connection does."""
    codec, seen = HttpServerCodec(), []
    ends = sorted({cut % (len(data) + 1) for cut in cuts} | {len(data)})
    for start, end in zip([0, *ends], ends, strict=False):
        codec.receive(data[start:end]) if end > start else None
        while (request := codec.next_request()) is not None:
            if isinstance(request, HttpResponse):
                json.decode(request.body, type=dict)
                codec.encode(request, True)
                return [*seen, request.status]
            seen.append(request)
            codec.encode(HttpResponse(200, (), b"ok\n"), False)
            if not codec.is_reusable:
                return seen
            codec.start_next()
    return seen


@hypothesis_settings
@given(
    st.lists(st.sampled_from(REQUESTS) | st.binary(max_size=40), max_size=4),
    st.lists(st.integers(0, 400), max_size=6),
)
@example([REQUESTS[3]], [])
@example([REQUESTS[4]], [])
@example([REQUESTS[7]], [])
@example([LARGE_REQUEST_HEAD, bytes(MAX_BODY_BYTES + 1)], [])
@example([b"GET / HTTP/1.1\r\nA: " + bytes(20_000)], [])
def fuzz_http(parts: list[bytes], cuts: list[int]) -> None:
    """Check that the result does not depend on how the bytes are split."""
    whole = run_server_codec(b"".join(parts), [])
    assert run_server_codec(b"".join(parts), cuts) == whole


HEADERS = ("deadline-ms", "max-staleness-ms", "idempotency-key", "session-token")
CALLER_TARGETS = (
    "/v1/databases/d/read",
    "/v1/databases/d/write",
    "/v1/databases/d/transactions",
    "/v1/databases/d/requests/%ff",
    "/v1/transactions/t/statements",
    "/v1/transactions/t/commit",
)
bodies = (
    st.binary(max_size=30)
    | values.map(json.encode)
    | fields("sql", "parameters", "page_rows", "offset", "statements").map(json.encode)
)
READ = CALLER_TARGETS[0]


@hypothesis_settings
@given(
    st.sampled_from(("GET", "POST")),
    st.sampled_from(CALLER_TARGETS) | latin,
    st.dictionaries(st.sampled_from(HEADERS), latin | st.integers().map(str)),
    bodies,
)
@example("POST", READ, {"deadline-ms": LONG_NUMBER}, b'{"sql": "x"}')
@example("POST", READ, {"session-token": "\xe9"}, b'{"sql": "x"}')
@example("POST", READ, {}, DEEPLY_NESTED_BODY)
@example("POST", READ, {}, b'{"sql": "\xff"}')
@example("POST", READ, {}, b'{"sql": "x", "offset": %d}' % HUGE_NUMBER)
@example("POST", READ, {}, b'{"sql": "x", "parameters": [%d]}' % HUGE_NUMBER)
def fuzz_caller(method: str, target: str, headers: dict[str, str], body: bytes) -> None:
    """Check that an accepted request can be encoded for another instance."""
    decoded = decode_caller_request(HttpRequest(method, target, headers, body), 0.0)
    if decoded.is_error():
        assert isinstance(decoded.error, Refusal)
        assert decoded.error.ran == "not_run"
        return
    msgpack.encode(decoded.ok)
    decoded.ok.session_token.encode("ascii")


KINDS = ("RoutedRequest", "Answer", "Refusal", "SpendRequest", "Heartbeat", "Unknown")
ROUTED_REQUEST_WITH_NAN_DEADLINE = [
    "7",
    "read",
    "w",
    "k",
    "d",
    [],
    "",
    None,
    None,
    float("nan"),
]
frames = st.tuples(st.integers(0, 2), st.sampled_from(KINDS), st.text(), values)


@hypothesis_settings
@given(
    st.binary(max_size=40)
    | st.lists(frames.map(list) | values, max_size=3).map(msgpack.encode)
)
@example(msgpack.encode([[1, "Refusal", "7", [1]], [1, "SpendRequest", "", ["w", 2]]]))
@example(msgpack.encode([["1", "a", "b", None], [1, "SpendRequest", "", ["w", 2]]]))
@example(b"\x91" * 5000)
@example(msgpack.encode([[1, "RoutedRequest", "7", ROUTED_REQUEST_WITH_NAN_DEADLINE]]))
def fuzz_frames(data: bytes) -> None:
    """Check that an invalid frame does not affect other frames of its batch."""
    contents = decode_batch(data, 0.0)
    try:
        batch = msgpack.decode(data, type=list)
    except ValueError:
        batch = None
    except RecursionError:
        return
    assert len(contents) == (1 if batch is None else len(batch))
    for content in contents:
        if isinstance(content, RoutedRequest):
            assert isfinite(content.deadline)


SIGNED_TOKEN = SessionTokenCodec("secret").encode(Session("w", {"d": Position(1, 2)}))


@hypothesis_settings
@given(
    latin
    | st.integers(0, len(SIGNED_TOKEN) - 1).map(lambda at: SIGNED_TOKEN[:at] + "é")
)
@example("")
def fuzz_token(token: str) -> None:
    """Check that only a token with a valid signature is accepted."""
    assert SessionTokenCodec("secret").decode(SIGNED_TOKEN).is_ok()
    assert SessionTokenCodec("secret").decode(token).is_error()


ADMIN_TARGETS = (
    ("POST", "/v1/workspaces"),
    ("PUT", "/v1/workspaces/w/limits"),
    ("POST", "/v1/workspaces/%ff/keys"),
    ("DELETE", "/v1/keys/%00"),
    ("PUT", "/v1/head-office"),
    ("PUT", "/v1/presets/p"),
    ("PUT", "/v1/preset"),
    ("PUT", "/v1/databases/d/leaving"),
    ("GET", "/v1/status"),
)
LIMITS = ("rate", "burst", "weight", "default", "lowest", "highest", "name")


@hypothesis_settings
@given(
    st.sampled_from(ADMIN_TARGETS) | st.tuples(st.just("GET"), latin),
    st.binary(max_size=30)
    | fields(*LIMITS, "preset", "leaving", "expected_version").map(json.encode),
)
@example(("PUT", "/v1/workspaces/w/limits"), b'{"burst": %d}' % HUGE_NUMBER)
@example(("PUT", "/v1/workspaces/w/limits"), b'{"rate": %d}' % HUGE_NUMBER)
@example(("PUT", "/v1/preset"), b'{"name": "a", "expected_version": %d}' % HUGE_NUMBER)
@example(("POST", "/v1/workspaces"), DEEPLY_NESTED_BODY)
def fuzz_admin(route: tuple[str, str], body: bytes) -> None:
    """Check that an accepted command can be encoded for the other instances."""
    decoded = decode_admin_request(HttpRequest(*route, {}, body))
    if decoded.is_error():
        assert isinstance(decoded.error, Refusal)
    else:
        msgpack.encode(decoded.ok)


member_bodies = fields(
    *("code", "detail", "results", "position", "columns", "rows", "more", "found"),
    *("role", "term", "promised", "applied", "upstream_age_ms", "transaction"),
)
STATUS = {"role": "primary", "term": 1, "promised": 1}
STATUS |= {"position": [1, 1], "applied": [1, 1]}


@hypothesis_settings
@given(st.sampled_from((0, 200, 409)), member_bodies)
@example(200, STATUS | {"upstream_age_ms": HUGE_NUMBER})
@example(200, STATUS | {"term": float("inf")})
@example(200, {"columns": ["a"], "rows": [[1]], "changes": "x"})
@example(200, {"columns": ["a"], "rows": [[[1]]]})
def fuzz_member(status: int, body: dict[str, object]) -> None:
    """Check that an answer of a member can be encoded for another instance."""
    outcome = decode_outcome(HttpOutcome(1, 1, status, body, True))
    decode_status("m", 0.0, body)
    if isinstance(outcome, MemberAnswer):
        answer = Answer(outcome.results, outcome.position, "m", "primary")
        assert msgpack.decode(msgpack.encode(answer), type=Answer) == answer


VALID_SETTINGS = {
    "instance": {
        "caller_address": "127.0.0.1:1",
        "admin_address": "127.0.0.1:2",
        "peer_address": "127.0.0.1:3",
        "failure_domain": "perth",
    },
    "platform": {"address": "127.0.0.1:4"},
    "secrets": {"session_secret": "s", "operator_key_hash": "0" * 64},
    "database d": {"members": "127.0.0.1:5", "slots": "1", "connections": "2"},
}
OPTIONS = [(title, option) for title, part in VALID_SETTINGS.items() for option in part]
TEXTS = st.text(st.characters(exclude_categories=("Cs", "Cc")), max_size=12)


def read_settings_errors(text: bytes) -> list[object]:
    """Read a settings file with this content; return its errors."""
    with TemporaryDirectory() as directory:
        path = Path(directory) / "jackdawspread.ini"
        path.write_bytes(text)
        read = read_instance_settings(path)
        errors = [] if read.is_ok() else read.error
        for error in errors:
            assert error.file == str(path) and error.accepted and str(error), error
        return errors


def settings_text(
    changes: dict[tuple[str, str], str], title: str = "database d"
) -> bytes:
    """Return valid settings with changed values."""
    lines = []
    for section, part in VALID_SETTINGS.items():
        lines.append(f"[{title if section == 'database d' else section}]")
        for option, value in part.items():
            lines.append(f"{option} = {changes.get((section, option), value)}")
    return "\n".join(lines).encode()


@hypothesis_settings
@given(st.sampled_from(OPTIONS), TEXTS, st.binary(max_size=60))
@example(("instance", "caller_address"), "127.0.0.1:" + LONG_NUMBER, b"")
@example(("database d", "slots"), LONG_NUMBER, b"[a]\nb")
@example(("database d", "slots"), "0", b"\xff")
@example(("instance", "failure_domain"), "", b"[instance]\n[instance]\n")
def fuzz_settings(option: tuple[str, str], value: str, raw: bytes) -> None:
    """Check that an error names the section, option and value that are invalid."""
    read_settings_errors(raw)
    assert read_settings_errors(settings_text({})) == []
    for title in ("database ", "database a.b", "database a/b")[: 3 if not raw else 0]:
        assert [
            error.section for error in read_settings_errors(settings_text({}, title))
        ] == [title]
    for error in read_settings_errors(settings_text({option: value})):
        named = (error.section, error.option)
        assert named == option and error.value in value, error


@hypothesis_settings
@given(st.builds(Session, latin, st.just({})), latin, latin, latin, st.floats())
def fuzz_admission(
    session: Session, key: str, database: str, transaction: str, deadline: float
) -> None:
    """Check that a request with an unknown key is refused."""
    snapshot = ControlSnapshot("i", 9.0, initial_configuration(), frozenset(), (), {})
    for kind in RequestKind:
        request = CallerRequest(
            kind, key, database, (), "", "", None, deadline, transaction
        )
        refused = admit(request, session, snapshot, frozenset({"d"}), 0.0)
        assert isinstance(refused.error, Refusal) and refused.error.ran == "not_run"


FUZZ_BY_PART: dict[str, Fuzz] = {
    "HTTP server": fuzz_http,
    "caller API": fuzz_caller,
    "peer frames": fuzz_frames,
    "session token": fuzz_token,
    "admin API": fuzz_admin,
    "member protocol": fuzz_member,
    "settings": fuzz_settings,
    "admission": fuzz_admission,
    "caller protocol": fuzz_caller_wire,
}


@then("300 generated inputs of the {part} raise no exception")
def raise_nothing(context: Context, part: str) -> None:
    """Fuzz one part with generated inputs and fixed examples."""
    FUZZ_BY_PART[part]()
