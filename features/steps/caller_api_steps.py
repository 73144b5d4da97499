"""Steps for the caller API."""

from behave import then, when
from behave.runner import Context

from jackdawspread.codecs.caller_requests import decode_caller_request
from jackdawspread.messages.http_request import HttpRequest


@when("a caller sends {method} {target} with headers \"{headers}\" and body '{body}'")
@when("a caller sends {method} {target} with headers \"\" and body '{body}'")
@when("a caller sends {method} {target} with headers \"\" and body ''")
def send(
    context: Context, method: str, target: str, headers: str = "", body: str = ""
) -> None:
    """Decode a request as a caller connection would."""
    pairs = dict(pair.split("=") for pair in headers.split(",") if pair)
    request = HttpRequest(method, target, pairs, body.encode())
    context.decoded = decode_caller_request(request, 0.0)


@then("the request is refused with the code {code} and the status {ran}")
def refused(context: Context, code: str, ran: str) -> None:
    """Check the code and the execution status of the refusal."""
    assert context.decoded.is_error(), context.decoded
    refusal = context.decoded.error
    assert (refusal.code, refusal.ran) == (code, ran), refusal
