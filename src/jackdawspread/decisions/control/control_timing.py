"""Intervals and timeouts of the control decisions, in seconds."""

HEARTBEAT_INTERVAL_S = 0.25
POLL_INTERVAL_S = 1.0
AUTHORITY_S = 3.0
# AUTHORITY_S and a margin of a tenth for clocks that run at different rates.
VIEW_SETTLE_S = 3.3
MEMBER_TIMEOUT_S = 10.0
OWNER_TAKEOVER_S = 0.6
PROMISE_TIMEOUT_S = 2.0
PROPOSAL_TIMEOUT_S = 2.0
PROPOSAL_RESEND_INTERVAL_S = 0.5
# After a promise an instance votes no more in this epoch. It promises only if it
# has read the platform recently, because the next view must be stored there.
PLATFORM_READ_MAX_AGE_S = 2.5
# A longer gap between two ticks means that this process was paused. Times of last
# contact from before the pause then say nothing about the peers.
PROCESS_PAUSE_S = 1.0
WRITE_TIMEOUT_S = 5.0
OWNERSHIP_CONFIRM_DELAY_S = 1.0
WITHDRAWAL_ANSWER_TIMEOUT_S = 1.0
# After this time other instances store a withdrawal too, in case the instance that
# accepted it does not.
WITHDRAWAL_TAKEOVER_S = 5.0
