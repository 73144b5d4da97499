"""Decoding of requests and encoding of answers of the platform protocol."""

from typing import Any
from urllib.parse import unquote

from expression import Error, Ok, Result

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.standins.platform.requests.get_object import GetObject
from jackdawspread.standins.platform.requests.list_instances import ListInstances
from jackdawspread.standins.platform.requests.platform_fault import PlatformFault
from jackdawspread.standins.platform.requests.put_object import PutObject
from jackdawspread.standins.platform.requests.read_rows import ReadRows
from jackdawspread.standins.platform.requests.register_instance import RegisterInstance
from jackdawspread.standins.platform.requests.transact import Transact
from jackdawspread.standins.request_type import decode_request, derive_request_type

JSON_HEADERS = (("Content-Type", "application/json"),)
OBJECTS = "/objects/"

REQUEST_TYPE_BY_ROUTE = {
    ("POST", "/table/read"): derive_request_type(ReadRows),
    ("POST", "/table/transact"): derive_request_type(Transact),
    ("GET", "/instances"): derive_request_type(ListInstances),
    ("POST", "/instances"): derive_request_type(RegisterInstance),
    ("POST", "/fault"): derive_request_type(PlatformFault),
}


def decode_platform_request(request: HttpRequest) -> Result[Any, HttpResponse]:
    """Decode a request, or return the error answer of one that is malformed."""
    if request.target.startswith(OBJECTS):
        name = unquote(request.target.removeprefix(OBJECTS))
        if request.method == "PUT":
            return Ok(PutObject(name, request.body))
        if request.method == "GET":
            return Ok(GetObject(name))
    request_type = REQUEST_TYPE_BY_ROUTE.get((request.method, request.target))
    if request_type is None:
        detail = f"{request.method} {request.target}"
        return Error(encode_platform_error(404, "unknown_route", detail))
    return decode_request(request.body, request_type).map_error(
        lambda detail: encode_platform_error(400, "malformed_request", detail)
    )


def encode_platform_answer(status: int, body: dict[str, Any]) -> HttpResponse:
    """Encode an answer."""
    return HttpResponse(status, JSON_HEADERS, encode_json(body))


def encode_platform_error(status: int, code: str, detail: str) -> HttpResponse:
    """Encode an error answer."""
    return encode_platform_answer(status, {"code": code, "detail": detail})
