"""Responses of the administration API."""

from functools import singledispatch
from typing import Any

from jackdawspread.codecs.untyped_json import encode_json
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.http_response import HttpResponse
from jackdawspread.messages.lost_race import LostRace
from jackdawspread.messages.refusal import Refusal

HEADERS = (("Content-Type", "application/json"),)
STATUS_BY_CODE = {
    "malformed_request": 400,
    "bad_change": 400,
    "unauthorized": 401,
    "unknown_route": 404,
    "unknown_workspace": 404,
    "unknown_key": 404,
    "unknown_preset": 404,
    "unknown_database": 404,
    "exists": 409,
    "outside_bounds": 422,
    "overloaded": 503,
    "platform_unavailable": 503,
    "outcome_unknown": 504,
}


@singledispatch
def encode_admin_outcome(outcome: object) -> HttpResponse:
    """Encode the outcome of a request to the administration API."""
    raise TypeError(f"administration cannot encode {type(outcome).__name__}")


@encode_admin_outcome.register
def _(outcome: AdminAnswer) -> HttpResponse:
    return HttpResponse(200, HEADERS, encode_json(outcome.body))


@encode_admin_outcome.register
def _(outcome: Refusal) -> HttpResponse:
    status = STATUS_BY_CODE.get(outcome.code, 503)
    return HttpResponse(status, HEADERS, encode_json(outcome._asdict()))


@encode_admin_outcome.register
def _(outcome: LostRace) -> HttpResponse:
    yours, current = outcome.yours["version"], outcome.current["version"]
    refusal = Refusal(
        "lost_race",
        ExecutionStatus.NOT_RUN,
        "administration",
        "",
        f"another change was stored first: yours {yours}, current {current}",
    )
    body = {**refusal._asdict(), "yours": outcome.yours, "current": outcome.current}
    return HttpResponse(409, HEADERS, encode_json(body))


def select_section(section: str, body: dict[str, Any]) -> dict[str, Any]:
    """Return the section of the status that a route serves."""
    document = body["configuration"]
    version = {"version": document["version"]}
    match section:
        case "configuration":
            return dict(document)
        case "workspaces":
            limits = body["effective_limits"]
            by_name = {
                name: {**workspace, "effective": limits[name]}
                for name, workspace in document["workspace_by_name"].items()
            }
            return {**version, "workspaces": by_name}
        case "head-office":
            return {**version, **document["head_office"]}
        case "presets":
            preset = {"preset": document["preset"]}
            return {**version, **preset, "presets": document["preset_by_name"]}
    rest = {name: value for name, value in body.items() if name != "configuration"}
    return {**version, "preset": document["preset"], **rest}
