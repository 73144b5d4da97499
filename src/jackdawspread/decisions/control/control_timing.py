"""Times of the control decisions, in seconds."""

HEARTBEAT_S = 0.25
POLL_S = 1.0
AUTHORITY_S = 3.0
# Authority plus a margin of a tenth for clocks that run at different rates.
SETTLE_S = 3.3
MEMBER_TIMEOUT_S = 10.0
OWNER_TAKEOVER_S = 0.6
PROMISE_TIMEOUT_S = 2.0
PROPOSAL_S = 2.0
PROPOSAL_REPEAT_S = 0.5
# A promise stops vouching, so it is given only while the platform can store
# the change that ends it.
PLATFORM_FRESH_S = 2.5
# A gap between two ticks means that this process was paused; the silence of
# others cannot be judged from before it.
PROCESS_PAUSE_S = 1.0
WRITE_S = 5.0
OWNERSHIP_CONFIRM_S = 1.0
WITHDRAWAL_ANSWER_S = 1.0
# Other instances store a withdrawal when the accepting one has not done so.
WITHDRAWAL_TAKEOVER_S = 5.0
