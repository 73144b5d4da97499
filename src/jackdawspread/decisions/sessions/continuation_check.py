"""Checks the statements of an open transaction against the configuration."""

from jackdawspread.decisions.sessions.operation_check import (
    STEP,
    refuse_key,
    refuse_without_configuration,
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

    The transaction keeps the route and the regions with which it began, and gets the
    limit for idle transactions in force. The caller's key must still belong to the
    workspace for which it has leased its connection.

    Parameters
    ----------
    configuration, age_s, max_age_s, key, newest_version
        As in `check_operation`.
    transaction : OperationAdmitted
        Admission of the transaction.
    """
    if configuration is None or age_s > max_age_s:
        return refuse_without_configuration(configuration, age_s)
    workspace = configuration.workspace_by_key.get(key, "")
    if workspace != transaction.workspace:
        return _refuse_lost_key(configuration, transaction, workspace, newest_version)
    return transaction._replace(
        version=configuration.version,
        age_s=age_s,
        newest_version=newest_version,
        transaction_idle_s=configuration.transaction_idle_s,
    )


def _refuse_lost_key(
    configuration: FleetConfiguration,
    transaction: OperationAdmitted,
    workspace: str,
    newest_version: int,
) -> Refusal:
    """Return the refusal of a key that the transaction's workspace has lost.

    The key is refused as invalid only if it couldn't begin a new transaction either.
    """
    began_with = transaction.route
    route = configuration.route_by_database.get(began_with.database, began_with)
    if not workspace and not route.public:
        return refuse_key(configuration, newest_version)
    detail = (
        "the transaction was rolled back: the key no longer belongs to workspace "
        f"{transaction.workspace or 'none'} in version {configuration.version}"
    )
    return Refusal("aborted", ExecutionStatus.NOT_RUN, STEP, "", detail)
