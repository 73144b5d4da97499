"""Events that the admission task handles."""

from jackdawspread.messages.fleet.admission_request import AdmissionRequest
from jackdawspread.messages.fleet.cold_token_request import ColdTokenRequest
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.continuation_request import ContinuationRequest
from jackdawspread.messages.fleet.newer_configuration_known import (
    NewerConfigurationKnown,
)
from jackdawspread.messages.fleet.operation_not_run import OperationNotRun
from jackdawspread.messages.fleet.rate_leases_held import RateLeasesHeld
from jackdawspread.messages.fleet.readiness_check import ReadinessCheck
from jackdawspread.messages.fleet.token_replied import TokenReplied
from jackdawspread.messages.fleet.token_requested import TokenRequested

AdmissionEvent = (
    AdmissionRequest
    | ColdTokenRequest
    | ConfigurationSeen
    | ContinuationRequest
    | NewerConfigurationKnown
    | OperationNotRun
    | RateLeasesHeld
    | ReadinessCheck
    | TokenReplied
    | TokenRequested
)
