"""Checks the statements of an open transaction against the configuration."""

from jackdawspread.decisions.sessions.allowed_regions import allowed_regions
from jackdawspread.decisions.sessions.operation_check import (
    STEP,
    refuse_key,
    refuse_regions,
    refuse_unconfirmed,
)
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration
from jackdawspread.messages.fleet.operation_admitted import OperationAdmitted
from jackdawspread.messages.refusal import Refusal


def check_continuation(
    configuration: FleetConfiguration | None,
    age_s: float,
    max_age_s: float,
    transaction: OperationAdmitted,
    key: str,
    newest_version: int = 0,
) -> OperationAdmitted | Refusal:
    """Return the admission of the next statement of a transaction, or its refusal.

    The transaction goes on if its route is removed. The caller's key must still belong
    to the workspace for which the transaction has leased its member connection.

    Parameters
    ----------
    configuration, age_s, max_age_s, key, newest_version
        As in `check_operation`.
    transaction : OperationAdmitted
        Admission of the transaction.
    """
    if configuration is None or age_s > max_age_s:
        return refuse_unconfirmed(configuration, age_s)
    began_with = transaction.route
    route = configuration.route_by_database.get(began_with.database, began_with)
    workspace = configuration.workspace_by_key.get(key, "")
    if not workspace and not route.public:
        return refuse_key(configuration, newest_version)
    if workspace != transaction.workspace:
        return _refuse_other_workspace(configuration)
    if allowed_regions(configuration, route, workspace) is None:
        return refuse_regions()
    return transaction._replace(
        version=configuration.version, age_s=age_s, newest_version=newest_version
    )


def _refuse_other_workspace(configuration: FleetConfiguration) -> Refusal:
    detail = (
        "the transaction was rolled back: the key belongs to another workspace in "
        f"version {configuration.version}"
    )
    return Refusal("aborted", ExecutionStatus.NOT_RUN, STEP, "", detail)
