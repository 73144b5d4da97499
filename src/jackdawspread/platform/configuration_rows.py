"""Decoding of the configuration that operators store on the platform."""

from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import decode

from jackdawspread.messages.fleet.consistency import Consistency
from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.member_group import MemberGroup
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit

DEFAULT_TIMEOUT_MS = 1000.0
DEFAULT_TARGET_MS = 200.0
DEFAULT_IDLE_MS = 3000.0
DEFAULT_CONNECTIONS = 16


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


class _Group(Struct):
    name: str = field(name="Name")
    # Maximum for each member, over all instances.
    max_connections: int = field(name="MaxConns", default=DEFAULT_CONNECTIONS)


class _Workspace(Struct):
    name: str = field(name="Name")
    keys: list[str] = field(name="ApiKeys", default_factory=list)
    rate_per_s: float | None = field(name="RatePerS", default=None)
    burst: float | None = field(name="Burst", default=None)


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
        If a field is missing or has the wrong type.
    """
    try:
        document = decode(value, type=_Configuration)
    except (DecodeError, ValidationError) as error:
        raise ValueError(f"unreadable configuration: {error}") from error
    return FleetConfiguration(
        version=document.version,
        route_by_database={
            route.database: _to_route(route) for route in document.routes
        },
        group_by_name={
            group.name: MemberGroup(group.name, group.max_connections)
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
    )


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
    )


def _to_limit(workspace: _Workspace) -> WorkspaceLimit:
    rate = workspace.rate_per_s or 0.0
    burst = workspace.burst if workspace.burst is not None else rate
    return WorkspaceLimit(workspace.name, rate, burst)
