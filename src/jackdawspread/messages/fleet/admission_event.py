"""Events that the admission task handles."""

from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.lend_tokens import LendTokens
from jackdawspread.messages.fleet.operation_not_run import OperationNotRun
from jackdawspread.messages.fleet.readiness_check import ReadinessCheck
from jackdawspread.messages.fleet.shares_held import SharesHeld
from jackdawspread.messages.fleet.tokens_received import TokensReceived

AdmissionEvent = (
    AdmissionRequest
    | ConfigurationSeen
    | LendTokens
    | OperationNotRun
    | ReadinessCheck
    | SharesHeld
    | TokensReceived
)
