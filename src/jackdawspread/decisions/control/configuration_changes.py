"""Application of operators' changes to the configuration document."""

from collections.abc import Iterable
from functools import singledispatch

from expression import Error, Ok, Result

from jackdawspread.decisions.control.limit_checks import (
    bounds_error,
    limit_error,
    rules_error,
)
from jackdawspread.messages.add_key import AddKey
from jackdawspread.messages.configuration_change import ConfigurationChange
from jackdawspread.messages.configuration_document import ConfigurationDocument
from jackdawspread.messages.create_workspace import CreateWorkspace
from jackdawspread.messages.define_preset import DefinePreset
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.head_office_document import HeadOfficeDocument
from jackdawspread.messages.limit_document import LimitDocument
from jackdawspread.messages.preset_document import PresetDocument
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.select_preset import SelectPreset
from jackdawspread.messages.set_head_office import SetHeadOffice
from jackdawspread.messages.set_leaving import SetLeaving
from jackdawspread.messages.set_limits import SetLimits
from jackdawspread.messages.withdraw_key import WithdrawKey
from jackdawspread.messages.workspace_document import WorkspaceDocument

Changed = Result[ConfigurationDocument, Refusal]


def apply_change(
    document: ConfigurationDocument, change: ConfigurationChange
) -> Changed:
    """Return the changed document, still with its old version, or a refusal."""
    return _apply(change, document)


def with_withdrawals(
    document: ConfigurationDocument, key_ids: Iterable[str]
) -> ConfigurationDocument:
    """Return the document with the given keys, where it has them, withdrawn."""
    for key_id in key_ids:
        key = document["key_by_id"].get(key_id)
        if key is not None and not key["withdrawn"]:
            document = _with_key(document, key_id, key["workspace"], True)
    return document


def commutes(change: ConfigurationChange) -> bool:
    """Return whether a change commutes with the changes of other operators."""
    return isinstance(change, AddKey | WithdrawKey)


def refuse(code: str, detail: str) -> Refusal:
    """Return the refusal of a change that was not applied."""
    return Refusal(code, ExecutionStatus.NOT_RUN, "administration", "", detail)


@singledispatch
def _apply(change: object, document: ConfigurationDocument) -> Changed:
    raise TypeError(f"configuration cannot apply {type(change).__name__}")


@_apply.register
def _(change: CreateWorkspace, document: ConfigurationDocument) -> Changed:
    if not change.name:
        return Error(refuse("bad_change", "the workspace's name must not be empty"))
    if change.name in document["workspace_by_name"]:
        return Error(refuse("exists", f"workspace {change.name} exists already"))
    refusal = _limits_refusal(change.limits, document["head_office"])
    if refusal is not None:
        return Error(refusal)
    added = WorkspaceDocument(overrides=change.limits, databases=list(change.databases))
    return Ok(_with_workspace(document, change.name, added))


def _limits_refusal(
    limits: LimitDocument, office: HeadOfficeDocument
) -> Refusal | None:
    problem = limit_error(limits)
    if problem:
        return refuse("bad_change", problem)
    problem = bounds_error(limits, office)
    return refuse("outside_bounds", problem) if problem else None


@_apply.register
def _(change: SetLimits, document: ConfigurationDocument) -> Changed:
    workspace = document["workspace_by_name"].get(change.workspace)
    if workspace is None:
        return Error(_no_workspace(change.workspace))
    refusal = _limits_refusal(change.limits, document["head_office"])
    if refusal is not None:
        return Error(refusal)
    overrides = LimitDocument(**{**workspace["overrides"], **change.limits})
    changed = WorkspaceDocument(overrides=overrides, databases=workspace["databases"])
    return Ok(_with_workspace(document, change.workspace, changed))


@_apply.register
def _(change: SetHeadOffice, document: ConfigurationDocument) -> Changed:
    rules = document["head_office"]
    merged = HeadOfficeDocument(
        default=LimitDocument(**{**rules["default"], **change.default}),
        lowest=LimitDocument(**{**rules["lowest"], **change.lowest}),
        highest=LimitDocument(**{**rules["highest"], **change.highest}),
    )
    problem = rules_error(merged)
    if problem:
        return Error(refuse("bad_change", problem))
    return Ok(ConfigurationDocument(**{**document, "head_office": merged}))


@_apply.register
def _(change: AddKey, document: ConfigurationDocument) -> Changed:
    if change.workspace not in document["workspace_by_name"]:
        return Error(_no_workspace(change.workspace))
    if change.key_id in document["key_by_id"]:
        return Error(refuse("exists", "this key exists already"))
    return Ok(_with_key(document, change.key_id, change.workspace, False))


@_apply.register
def _(change: WithdrawKey, document: ConfigurationDocument) -> Changed:
    key = document["key_by_id"].get(change.key_id)
    if key is None:
        return Error(refuse("unknown_key", "no key has this id"))
    return Ok(_with_key(document, change.key_id, key["workspace"], True))


@_apply.register
def _(change: DefinePreset, document: ConfigurationDocument) -> Changed:
    preset = change.preset
    if not change.name or preset["queue_limit"] < 1 or preset["queue_wait_ms"] < 1:
        detail = (
            "a preset needs a name, and queue_limit and queue_wait_ms of at least 1"
        )
        return Error(refuse("bad_change", detail))
    if not 0 <= preset["retry_percent"] <= 100:
        return Error(refuse("bad_change", "retry_percent must be 0 to 100"))
    presets: dict[str, PresetDocument] = {
        **document["preset_by_name"],
        change.name: preset,
    }
    return Ok(ConfigurationDocument(**{**document, "preset_by_name": presets}))


@_apply.register
def _(change: SelectPreset, document: ConfigurationDocument) -> Changed:
    if change.name not in document["preset_by_name"]:
        names = ", ".join(sorted(document["preset_by_name"]))
        detail = f"no preset {change.name}; defined are {names}"
        return Error(refuse("unknown_preset", detail))
    return Ok(ConfigurationDocument(**{**document, "preset": change.name}))


@_apply.register
def _(change: SetLeaving, document: ConfigurationDocument) -> Changed:
    leaving = set(document["leaving_databases"]) - {change.database}
    if change.is_leaving:
        leaving.add(change.database)
    names = sorted(leaving)
    return Ok(ConfigurationDocument(**{**document, "leaving_databases": names}))


def _no_workspace(name: str) -> Refusal:
    return refuse("unknown_workspace", f"no workspace {name}; create it first")


def _with_workspace(
    document: ConfigurationDocument, name: str, workspace: WorkspaceDocument
) -> ConfigurationDocument:
    by_name = {**document["workspace_by_name"], name: workspace}
    return ConfigurationDocument(**{**document, "workspace_by_name": by_name})


def _with_key(
    document: ConfigurationDocument, key_id: str, workspace: str, withdrawn: bool
) -> ConfigurationDocument:
    key = {"workspace": workspace, "withdrawn": withdrawn}
    by_id = {**document["key_by_id"], key_id: key}
    return ConfigurationDocument(**{**document, "key_by_id": by_id})  # type: ignore[typeddict-item]
