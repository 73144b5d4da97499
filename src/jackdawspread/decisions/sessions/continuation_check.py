"""Checks the statements of an open transaction against the configuration."""

from jackdawspread.decisions.sessions.operation_check import STEP, check_operation
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

    The caller's key must still belong to the workspace for which the transaction has
    leased its member connection.

    Parameters
    ----------
    configuration, age_s, max_age_s, key, newest_version
        As in `check_operation`.
    transaction : OperationAdmitted
        Admission of the transaction.
    """
    checked = check_operation(
        configuration,
        age_s,
        max_age_s,
        transaction.route.database,
        key,
        newest_version,
    )
    if isinstance(checked, Refusal):
        return checked
    if checked.workspace != transaction.workspace:
        detail = (
            "the transaction was rolled back: the key belongs to another workspace "
            f"since version {checked.version}"
        )
        return Refusal("aborted", ExecutionStatus.NOT_RUN, STEP, "", detail)
    return transaction._replace(
        version=checked.version, age_s=checked.age_s, newest_version=newest_version
    )
