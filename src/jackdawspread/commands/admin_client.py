"""Calls the administration API."""

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

# Longer than the instance takes to answer.
ANSWER_S = 20.0
READ_CHUNK_BYTES = 64 * 1024
OK_STATUS = 200

Body = dict[str, Any]


def call_admin(
    connection: AdminEndpoint, method: str, target: str, body: Body
) -> Result[Body, Body]:
    """Make one call and return the answer's body, or that of the refusal."""
    try:
        response = run(_exchange, connection, method, target, encode_json(body))
    except (OSError, BrokenResourceError, ValueError) as error:
        return Error(_failure("unreachable", "not_run", connection, str(error)))
    except (TrioTooSlowError, RemoteProtocolError) as error:
        reason = str(error) or "no answer in time"
        return Error(_failure("outcome_unknown", "unknown", connection, reason))
    except LocalProtocolError as error:
        return Error(_failure("bad_request", "not_run", connection, str(error)))
    decoded = decode_json(response.body, Body)
    if decoded.is_error():
        reason = f"unexpected answer: {decoded.error}"
        return Error(_failure("outcome_unknown", "unknown", connection, reason))
    return Ok(decoded.ok) if response.status == OK_STATUS else Error(decoded.ok)


async def _exchange(
    connection: AdminEndpoint, method: str, target: str, body: bytes
) -> HttpResponse:
    codec = HttpClientCodec(connection.address)
    host, _, port = connection.address.rpartition(":")
    credential = ("Authorization", f"Bearer {connection.credential}")
    data = codec.encode(method, target, body, (credential,))
    with fail_after(ANSWER_S):
        async with await open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(data)
            while (response := codec.next_response()) is None:
                received = await stream.receive_some(READ_CHUNK_BYTES)
                codec.receive(received)
                if not received:
                    raise RemoteProtocolError("closed by the instance")
    return response


def _failure(code: str, ran: str, connection: AdminEndpoint, detail: str) -> Body:
    return {
        "code": code,
        "ran": ran,
        "step": "administration",
        "peer": connection.address,
        "detail": detail,
    }
