"""Requests and answers of the member protocol."""

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
from jackdawspread.standins.request_shape import decode_request, request_shape

JSON_HEADERS = (("Content-Type", "application/json"),)

SHAPE_BY_TARGET = {
    "/begin": request_shape(Begin),
    "/commit": request_shape(Commit),
    "/confirm": request_shape(Confirm),
    "/connect": request_shape(Connect),
    "/execute": request_shape(Execute),
    "/fault": request_shape(Fault),
    "/follow": request_shape(Follow),
    "/log": request_shape(ReadLog),
    "/open": request_shape(Open),
    "/outcome": request_shape(Outcome),
    "/prepare": request_shape(Prepare),
    "/read": request_shape(Read),
    "/replicate": request_shape(Replicate),
    "/rollback": request_shape(Rollback),
    "/status": request_shape(Status),
    "/write": request_shape(Write),
}


def decode_member_request(request: HttpRequest) -> Result[Any, MemberRefusal]:
    """Decode a request, or say why it is refused."""
    shape = SHAPE_BY_TARGET.get(request.target)
    if shape is None:
        return Error(MemberRefusal(404, "unknown_route", request.target))
    return decode_request(request.body, shape).map_error(
        lambda detail: MemberRefusal(400, "malformed_request", detail)
    )


def encode_answer(body: dict[str, Any]) -> HttpResponse:
    """Encode an answer."""
    return HttpResponse(200, JSON_HEADERS, encode_json(body))


def encode_refusal(refusal: MemberRefusal) -> HttpResponse:
    """Encode an error answer."""
    body = {"code": refusal.code, "detail": refusal.detail, **refusal.fields}
    return HttpResponse(refusal.status, JSON_HEADERS, encode_json(body))
