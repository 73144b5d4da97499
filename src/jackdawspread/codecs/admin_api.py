"""Requests of the administration API over HTTP and JSON."""

from collections.abc import Callable
from typing import TypeVar
from urllib.parse import unquote

from expression import Error, Ok, Result
from msgspec import msgpack

from jackdawspread.codecs.change_body import ChangeBody
from jackdawspread.codecs.head_office_body import HeadOfficeBody
from jackdawspread.codecs.json_body import decode_request_body
from jackdawspread.codecs.leaving_body import LeavingBody
from jackdawspread.codecs.limits_body import LimitsBody
from jackdawspread.codecs.preset_body import PresetBody
from jackdawspread.codecs.selection_body import SelectionBody
from jackdawspread.codecs.workspace_body import WorkspaceBody
from jackdawspread.messages.admin_command import AdminCommand
from jackdawspread.messages.configuration_change import ConfigurationChange
from jackdawspread.messages.create_workspace import CreateWorkspace
from jackdawspread.messages.define_preset import DefinePreset
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.issue_key import IssueKey
from jackdawspread.messages.limit_document import LimitDocument
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.select_preset import SelectPreset
from jackdawspread.messages.set_head_office import SetHeadOffice
from jackdawspread.messages.set_leaving import SetLeaving
from jackdawspread.messages.set_limits import SetLimits
from jackdawspread.messages.status_section import StatusSection
from jackdawspread.messages.withdraw_key import WithdrawKey

Decoded = Result[AdminCommand, Refusal]
B = TypeVar("B", bound=ChangeBody)
SECTIONS = ("status", "configuration", "workspaces", "head-office", "presets")


def decode_admin_request(request: HttpRequest) -> Decoded:
    """Decode an HTTP request to the administration API."""
    path = request.target.partition("?")[0].strip("/").split("/")
    match (request.method, [unquote(part) for part in path]):
        case ("GET", ["v1", section]) if section in SECTIONS:
            return Ok(AdminCommand(StatusSection(section)))
        case ("POST", ["v1", "workspaces"]):
            return _change(request, WorkspaceBody, _create_workspace)
        case ("PUT", ["v1", "workspaces", name, "limits"]):
            return _change(request, LimitsBody, lambda b: SetLimits(name, _limits(b)))
        case ("POST", ["v1", "workspaces", name, "keys"]):
            return _change(request, ChangeBody, lambda _: IssueKey(name))
        case ("DELETE", ["v1", "keys", key_id]):
            return Ok(AdminCommand(WithdrawKey(key_id)))
        case ("PUT", ["v1", "head-office"]):
            return _change(request, HeadOfficeBody, _head_office)
        case ("PUT", ["v1", "presets", name]):
            return _change(
                request, PresetBody, lambda b: DefinePreset(name, b["preset"])
            )
        case ("PUT", ["v1", "preset"]):
            return _change(request, SelectionBody, lambda b: SelectPreset(b["name"]))
        case ("PUT", ["v1", "databases", name, "leaving"]):
            return _change(
                request, LeavingBody, lambda b: SetLeaving(name, b["leaving"])
            )
    detail = f"no route for {request.method} {request.target[:100]}"
    return Error(Refusal("unknown_route", ExecutionStatus.NOT_RUN, "parse", "", detail))


def _change(
    request: HttpRequest,
    body_type: type[B],
    build: Callable[[B], IssueKey | ConfigurationChange],
) -> Decoded:
    body = decode_request_body(request.body or b"{}", body_type)
    if body.is_error():
        return Error(
            Refusal(
                "malformed_request", ExecutionStatus.NOT_RUN, "parse", "", body.error
            )
        )
    try:
        msgpack.encode(body.ok)
    except OverflowError:
        detail = "a number is too large"
        return Error(
            Refusal("malformed_request", ExecutionStatus.NOT_RUN, "parse", "", detail)
        )
    change: ChangeBody = body.ok
    expected = change.get("expected_version", 0)
    if expected < 0:
        detail = "expected_version must be at least 0"
        return Error(
            Refusal("malformed_request", ExecutionStatus.NOT_RUN, "parse", "", detail)
        )
    return Ok(AdminCommand(build(body.ok), expected))


def _create_workspace(body: WorkspaceBody) -> CreateWorkspace:
    databases = tuple(body.get("databases", ()))
    return CreateWorkspace(body["name"], databases, _limits(body))


def _limits(body: LimitsBody | WorkspaceBody) -> LimitDocument:
    limits = LimitDocument()
    if "rate" in body:
        limits["rate"] = body["rate"]
    if "burst" in body:
        limits["burst"] = body["burst"]
    if "weight" in body:
        limits["weight"] = body["weight"]
    return limits


def _head_office(body: HeadOfficeBody) -> SetHeadOffice:
    return SetHeadOffice(
        body.get("default", {}), body.get("lowest", {}), body.get("highest", {})
    )
