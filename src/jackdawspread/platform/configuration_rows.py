"""Decoding of the configuration that operators store on the platform."""

from math import inf
from typing import Any

from absl import logging
from msgspec import Struct, field

from jackdawspread.codecs.listing_check import check_name
from jackdawspread.codecs.stored_json import decode_stored
from jackdawspread.messages.fleet.consistency import Consistency
from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit

DEFAULT_TIMEOUT_MS = 1000.0
DEFAULT_TARGET_MS = 200.0
DEFAULT_IDLE_MS = 3000.0
DEFAULT_CONNECTIONS = 16
MAX_SYNC_REPLICAS = 10_000


class _Route(Struct):
    # "Host" is the name of a database, not of a machine.
    database: str = field(name="Host")
    consistency: Consistency = field(name="RouteType")
    # A "Service" is a group of members that replicate one log.
    group: str = field(name="Service")
    statement_timeout_ms: float = field(name="TimeoutMs", default=DEFAULT_TIMEOUT_MS)
    latency_target_ms: float = field(name="TargetLatencyMs", default=DEFAULT_TARGET_MS)
    priority: int = field(name="Priority", default=1)
    max_staleness_ms: float = field(name="MaxStalenessMs", default=0.0)
    public: bool = field(name="Public", default=False)
    allowed_regions: list[str] | None = field(name="AllowedRegions", default=None)


class _Group(Struct):
    name: str = field(name="Name")
    # Maximum for each member, over all instances.
    max_connections: int = field(name="MaxConns", default=DEFAULT_CONNECTIONS)
    cold_rate_per_s: float = field(name="ColdPerS", default=0.0)
    # Checked apart, since the rest of a version with a wrong value can be used.
    sync_replicas: Any = field(name="SyncReplicas", default=0)


class _Workspace(Struct):
    name: str = field(name="Name")
    keys: list[str] = field(name="ApiKeys", default_factory=list)
    rate_per_s: float | None = field(name="RatePerS", default=None)
    burst: float | None = field(name="Burst", default=None)
    allowed_regions: list[str] | None = field(name="AllowedRegions", default=None)


class _Limits(Struct):
    transaction_idle_ms: float = field(name="TxIdleMs", default=DEFAULT_IDLE_MS)


class _Configuration(Struct):
    version: int = field(name="Version")
    routes: list[_Route] = field(name="Routes", default_factory=list)
    groups: list[_Group] = field(name="Services", default_factory=list)
    workspaces: list[_Workspace] = field(name="Tenants", default_factory=list)
    limits: _Limits = field(name="Limits", default_factory=_Limits)


def decode_configuration(value: bytes) -> FleetConfiguration:
    """Decode one version of the configuration.

    Raises
    ------
    ValueError
        If a field is missing, has the wrong type or contradicts another one.
    """
    document = decode_stored(value, _Configuration)
    _check(document)
    return FleetConfiguration(
        version=document.version,
        route_by_database={
            route.database: _to_route(route) for route in document.routes
        },
        group_by_name={
            group.name: MemberGroup(
                group.name,
                group.max_connections,
                group.cold_rate_per_s,
                _to_sync_replicas(group),
            )
            for group in document.groups
        },
        limit_by_workspace={
            workspace.name: _to_limit(workspace)
            for workspace in document.workspaces
            if workspace.rate_per_s is not None
        },
        workspace_by_key={
            key: workspace.name
            for workspace in document.workspaces
            for key in workspace.keys
        },
        transaction_idle_s=document.limits.transaction_idle_ms / 1000,
        regions_by_workspace={
            workspace.name: frozenset(workspace.allowed_regions)
            for workspace in document.workspaces
            if workspace.allowed_regions
        },
    )


def _check(document: _Configuration) -> None:
    """Check what the types don't express; raise ValueError."""
    if document.version < 1:
        raise ValueError("the version must be above 0")
    _check_unique("route", [(route.database, route) for route in document.routes])
    _check_unique("group", [(group.name, group) for group in document.groups])
    _check_unique("workspace", [(item.name, item) for item in document.workspaces])
    owners = [(key, item.name) for item in document.workspaces for key in item.keys]
    _check_unique("key", owners)
    for name in (
        *(route.database for route in document.routes),
        *(route.group for route in document.routes),
        *(group.name for group in document.groups),
        *(item.name for item in document.workspaces),
    ):
        check_name(name)
    for number in (
        document.limits.transaction_idle_ms,
        *(route.statement_timeout_ms for route in document.routes),
        *(route.latency_target_ms for route in document.routes),
        *(route.max_staleness_ms for route in document.routes),
        *(group.cold_rate_per_s for group in document.groups),
        *(item.rate_per_s or 0.0 for item in document.workspaces),
        *(item.burst or 0.0 for item in document.workspaces),
    ):
        if not 0 <= number < inf:
            raise ValueError("a number must be finite and not negative")
    if any(group.max_connections < 1 for group in document.groups):
        raise ValueError("a group must allow a connection")


def _check_unique(kind: str, items: list[tuple[str, Any]]) -> None:
    """Check that a name has one meaning; the same item twice is harmless."""
    item_by_name: dict[str, Any] = {}
    for name, item in items:
        if item_by_name.setdefault(name, item) != item:
            # A key may not appear in an error message.
            raise ValueError(f"a {kind} is defined twice")


def _to_route(route: _Route) -> DatabaseRoute:
    return DatabaseRoute(
        database=route.database,
        group=route.group,
        consistency=route.consistency,
        max_staleness_s=route.max_staleness_ms / 1000,
        statement_timeout_s=route.statement_timeout_ms / 1000,
        latency_target_s=route.latency_target_ms / 1000,
        priority=route.priority,
        public=route.public,
        allowed_regions=frozenset(route.allowed_regions or ()),
    )


def _to_sync_replicas(group: _Group) -> int:
    """Return the number of replicas; a wrong value means that commits are at risk."""
    value = group.sync_replicas
    if type(value) is int and 0 <= value <= MAX_SYNC_REPLICAS:
        return value
    logging.error(
        "configuration: SyncReplicas taken as 1 group=%s value=%.40r", group.name, value
    )
    return 1


def _to_limit(workspace: _Workspace) -> WorkspaceLimit:
    rate = workspace.rate_per_s or 0.0
    burst = workspace.burst if workspace.burst is not None else rate
    return WorkspaceLimit(workspace.name, rate, burst)
