"""Checks the key and the database of an operation against the configuration."""

from jackdawspread.decisions.sessions.allowed_regions import allowed_regions
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.fleet.workspace_limit import WorkspaceLimit
from jackdawspread.messages.refusal import Refusal

STEP = "admission"
RETRY_AFTER_MS = 500
# Only a change of the configuration can help.
NO_REGION_RETRY_MS = 5000


def check_operation(
    configuration: FleetConfiguration | None,
    age_s: float,
    max_age_s: float,
    database: str,
    key: str,
    newest_version: int = 0,
) -> OperationAdmitted | Refusal:
    """Return the route and workspace of an operation, or its refusal.

    Parameters
    ----------
    configuration : FleetConfiguration or None
        Current configuration, None if none has been read yet.
    age_s : float
        Seconds since the store last confirmed that the configuration is current.
    max_age_s : float
        Greatest age in seconds. An older configuration could still contain a
        withdrawn key, so every operation is refused.
    database : str
        Database that the caller named.
    key : str
        The caller's key.
    newest_version : int
        Newest version that is known to exist, for the log.
    """
    if configuration is None or age_s > max_age_s:
        return refuse_without_configuration(configuration, age_s)
    route = configuration.route_by_database.get(database)
    if route is None:
        detail = f"there is no route for the database {database}"
        return _refuse("nodb", f"{detail}, {_versions(configuration, newest_version)}")
    workspace = configuration.workspace_by_key.get(key, "")
    if not workspace and not route.public:
        return refuse_key(configuration, newest_version)
    regions = allowed_regions(configuration, route, workspace)
    if regions is None:
        detail = "the route and the workspace have no allowed region in common"
        return _refuse("busy", detail, NO_REGION_RETRY_MS)
    return OperationAdmitted(
        route,
        workspace,
        configuration.version,
        age_s,
        configuration.transaction_idle_s,
        regions,
        newest_version,
    )


def refuse_without_configuration(
    configuration: FleetConfiguration | None, age_s: float
) -> Refusal:
    """Return the refusal while no configuration is known, or only an old one."""
    if configuration is None:
        return _refuse("busy", "no configuration has been read yet", RETRY_AFTER_MS)
    detail = f"the configuration was last confirmed {age_s:.1f} s ago"
    return _refuse("busy", detail, RETRY_AFTER_MS)


def refuse_key(configuration: FleetConfiguration, newest_version: int) -> Refusal:
    """Return the refusal of a key that no workspace holds."""
    versions = _versions(configuration, newest_version)
    return _refuse("noauth", f"the key is not valid, {versions}")


def refuse_outdated(newest_version: int) -> Refusal:
    """Return the refusal of an operation while a newer version has not arrived.

    It may have withdrawn the caller's key or changed the route.
    """
    detail = f"version {newest_version} of the configuration has not arrived yet"
    return _refuse("busy", detail, RETRY_AFTER_MS)


def _versions(configuration: FleetConfiguration, newest_version: int) -> str:
    return f"version {configuration.version}, newest known {newest_version}"


def refuse_rate(
    limit: WorkspaceLimit, leases: int, other_holders: int, wait_s: float
) -> Refusal:
    """Return the refusal of an operation that exceeds the rate of its workspace.

    ``leases`` is the number of rate leases of this instance, ``other_holders`` that of
    the instances that were asked for a token.
    """
    detail = (
        f"workspace {limit.workspace} is above its rate of {limit.rate_per_s:g}/s "
        f"with a burst of {limit.burst:g}, leases held here {leases}, other holders "
        f"{other_holders}"
    )
    return _refuse("busy", detail, max(1, round(1000 * min(wait_s, 5.0))))


def _refuse(code: str, detail: str, retry_after_ms: int = 0) -> Refusal:
    return Refusal(code, ExecutionStatus.NOT_RUN, STEP, "", detail, retry_after_ms)
