"""Function that reads the list of members during a failover attempt."""

from collections.abc import Awaitable, Callable

from jackdawspread.messages.fleet.members_seen import MembersSeen

# Returns a list that was read after a monotonic time in seconds; None if none could be
# read.
ReadMembersSince = Callable[[float], Awaitable[MembersSeen | None]]

# Why an attempt ends if it needs all members and the list may lack one.
LIST_NOT_WHOLE = "a member may not be listed yet after an outage of the store"
