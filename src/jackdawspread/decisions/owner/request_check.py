"""Checks of requests at the owner."""

from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.preset_document import PresetDocument
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_request import RoutedRequest

TRANSACTION_CONTINUATION_KINDS = (
    RequestKind.EXECUTE,
    RequestKind.COMMIT,
    RequestKind.ROLLBACK,
)


def selected_preset(snapshot: ControlSnapshot) -> PresetDocument:
    """Return the preset that the configuration selects."""
    configuration = snapshot.configuration
    return configuration["preset_by_name"][configuration["preset"]]


def workspace_weight(snapshot: ControlSnapshot, workspace: str) -> float:
    """Return a workspace's weight in fair queueing, within head office's bounds."""
    configuration = snapshot.configuration
    office = configuration["head_office"]
    document = configuration["workspace_by_name"].get(workspace)
    overrides = document["overrides"] if document else {}
    weight = overrides.get("weight", office["default"].get("weight", 1.0))
    weight = min(weight, office["highest"].get("weight", weight))
    weight = max(weight, office["lowest"].get("weight", weight))
    return weight if weight > 0 else 1.0


def check_arrival(snapshot: ControlSnapshot, request: RoutedRequest) -> Refusal | None:
    """Return why a request is not accepted, or None."""
    leaving = request.database in snapshot.configuration["leaving_databases"]
    if leaving and request.kind not in TRANSACTION_CONTINUATION_KINDS:
        return refuse("database_leaving", "the database is leaving")
    return None


def check_before_sending(
    snapshot: ControlSnapshot, request: RoutedRequest, now: float
) -> Refusal | None:
    """Return why a request must not be sent to a member, or None."""
    if now >= snapshot.authority_deadline:
        return refuse("no_authority", "the instance has lost its authority")
    key = snapshot.configuration["key_by_id"].get(request.key_id)
    if (
        key is None
        or key["withdrawn"]
        or request.key_id in snapshot.withdrawn_key_ids
        or key["workspace"] != request.workspace
    ):
        return refuse("unauthorized", "the key is unknown or withdrawn")
    preset = selected_preset(snapshot)
    writes = (RequestKind.WRITE, RequestKind.BEGIN, RequestKind.COMMIT)
    if request.kind in writes and not preset["writes_allowed"]:
        return refuse("writes_not_allowed", "the selected preset allows no writes")
    return None


def refuse(code: str, detail: str, peer: str = "", retry_ms: int = 0) -> Refusal:
    """Return a refusal of a request that no member has received."""
    return Refusal(code, ExecutionStatus.NOT_RUN, "owner", peer, detail, retry_ms)
