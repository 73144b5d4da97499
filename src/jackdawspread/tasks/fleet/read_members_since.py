"""Function that reads the list of members during a failover attempt."""

from collections.abc import Awaitable, Callable

from jackdawspread.messages.fleet.member_listing import MemberListing

# Returns a list that was read after a monotonic time in seconds; None if none could be
# read.
ReadMembersSince = Callable[[float], Awaitable[dict[str, MemberListing] | None]]
