"""Events that the admission task handles."""

from jackdawspread.messages.fleet.admit_operation import AdmitOperation
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.readiness_asked import ReadinessAsked
from jackdawspread.messages.fleet.shares_held import SharesHeld

AdmissionEvent = AdmitOperation | ConfigurationSeen | ReadinessAsked | SharesHeld
