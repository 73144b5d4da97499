"""Decoding of requests and encoding of answers of the member protocol."""

from typing import Any

from expression import Error, Result

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.requests.begin import Begin
from jackdawspread.standins.member.requests.commit import Commit
from jackdawspread.standins.member.requests.confirm import Confirm
from jackdawspread.standins.member.requests.connect import Connect
from jackdawspread.standins.member.requests.execute import Execute
from jackdawspread.standins.member.requests.fault import Fault
from jackdawspread.standins.member.requests.follow import Follow
from jackdawspread.standins.member.requests.open import Open
from jackdawspread.standins.member.requests.outcome import Outcome
from jackdawspread.standins.member.requests.prepare import Prepare
from jackdawspread.standins.member.requests.read import Read
from jackdawspread.standins.member.requests.read_log import ReadLog
from jackdawspread.standins.member.requests.replicate import Replicate
from jackdawspread.standins.member.requests.rollback import Rollback
from jackdawspread.standins.member.requests.status import Status
from jackdawspread.standins.member.requests.write import Write
from jackdawspread.standins.request_type import decode_request, derive_request_type

JSON_HEADERS = (("Content-Type", "application/json"),)

REQUEST_TYPE_BY_TARGET = {
    "/begin": derive_request_type(Begin),
    "/commit": derive_request_type(Commit),
    "/confirm": derive_request_type(Confirm),
    "/connect": derive_request_type(Connect),
    "/execute": derive_request_type(Execute),
    "/fault": derive_request_type(Fault),
    "/follow": derive_request_type(Follow),
    "/log": derive_request_type(ReadLog),
    "/open": derive_request_type(Open),
    "/outcome": derive_request_type(Outcome),
    "/prepare": derive_request_type(Prepare),
    "/read": derive_request_type(Read),
    "/replicate": derive_request_type(Replicate),
    "/rollback": derive_request_type(Rollback),
    "/status": derive_request_type(Status),
    "/write": derive_request_type(Write),
}


def decode_member_request(request: HttpRequest) -> Result[Any, MemberRefusal]:
    """Decode a request, or return the refusal of one that is malformed."""
    request_type = REQUEST_TYPE_BY_TARGET.get(request.target)
    if request_type is None:
        return Error(MemberRefusal(404, "unknown_route", request.target))
    return decode_request(request.body, request_type).map_error(
        lambda detail: MemberRefusal(400, "malformed_request", detail)
    )


def encode_answer(body: dict[str, Any]) -> HttpResponse:
    """Encode a successful answer."""
    return HttpResponse(200, JSON_HEADERS, encode_json(body))


def encode_refusal(refusal: MemberRefusal) -> HttpResponse:
    """Encode a refusal as an error answer."""
    body = {"code": refusal.code, "detail": refusal.detail, **refusal.fields}
    return HttpResponse(refusal.status, JSON_HEADERS, encode_json(body))
