"""Client of the administration API."""

from typing import Any

from expression import Error, Ok, Result
from h11 import LocalProtocolError, RemoteProtocolError
from trio import BrokenResourceError, fail_after, open_tcp_stream, run
from trio import TooSlowError as TrioTooSlowError

from jackdawspread.codecs.http_client_codec import HttpClientCodec
from jackdawspread.codecs.json_body import decode_json
from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.commands.admin_endpoint import AdminEndpoint
from jackdawspread.messages.http_response import HttpResponse

# Exceeds the time within which an instance answers a call.
ANSWER_TIMEOUT_S = 20.0
READ_CHUNK_BYTES = 64 * 1024
HTTP_OK = 200

Body = dict[str, Any]


def call_admin(
    endpoint: AdminEndpoint, method: str, target: str, body: Body
) -> Result[Body, Body]:
    """Make one call and return the body of the answer, or of the refusal."""
    try:
        response = run(_exchange, endpoint, method, target, encode_json(body))
    except (OSError, BrokenResourceError, ValueError) as error:
        return Error(_failure_body("unreachable", "not_run", endpoint, str(error)))
    except (TrioTooSlowError, RemoteProtocolError) as error:
        reason = str(error) or "no answer in time"
        return Error(_failure_body("outcome_unknown", "unknown", endpoint, reason))
    except LocalProtocolError as error:
        return Error(_failure_body("bad_request", "not_run", endpoint, str(error)))
    decoded = decode_json(response.body, Body)
    if decoded.is_error():
        reason = f"unexpected answer: {decoded.error}"
        return Error(_failure_body("outcome_unknown", "unknown", endpoint, reason))
    return Ok(decoded.ok) if response.status == HTTP_OK else Error(decoded.ok)


async def _exchange(
    endpoint: AdminEndpoint, method: str, target: str, body: bytes
) -> HttpResponse:
    codec = HttpClientCodec(endpoint.address)
    host, _, port = endpoint.address.rpartition(":")
    credential = ("Authorization", f"Bearer {endpoint.credential}")
    data = codec.encode(method, target, body, (credential,))
    with fail_after(ANSWER_TIMEOUT_S):
        async with await open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(data)
            while (response := codec.next_response()) is None:
                received = await stream.receive_some(READ_CHUNK_BYTES)
                codec.receive(received)
                if not received:
                    raise RemoteProtocolError("the instance closed the connection")
    return response


def _failure_body(code: str, ran: str, endpoint: AdminEndpoint, detail: str) -> Body:
    return {
        "code": code,
        "ran": ran,
        "step": "administration",
        "peer": endpoint.address,
        "detail": detail,
    }
