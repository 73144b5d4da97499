"""Load of one workspace far above its rate, through several instances."""

from trio import current_time, open_nursery, sleep_until

from bench.client.proxy_caller import ProxyCaller
from bench.client.typed_reply import TypedReply

# A refusal for the rate takes up to 0.2 s, so that this many callers send one
# request each per interval.
CALLERS_PER_INSTANCE = 24


async def flood(
    callers: list[ProxyCaller],
    rate: float,
    seconds: float,
    replies: list[TypedReply],
) -> None:
    """Read at a rate for some seconds and collect the replies.

    Parameters
    ----------
    callers : list of ProxyCaller
        One for each stream of requests; each sends its share of the rate and
        leaves out what it cannot send in time.
    rate : float
        Requests per second, all callers together.
    seconds : float
        How long to send.
    replies : list of TypedReply
        Takes the replies.
    """
    interval = len(callers) / rate
    end = current_time() + seconds

    async def send(caller: ProxyCaller, first: float) -> None:
        due = first
        while due < end:
            await sleep_until(due)
            replies.append(await caller.read("swap2", "SELECT 1", 2000))
            due = max(due + interval, current_time())
        await caller.connection.aclose()

    start = current_time()
    async with open_nursery() as nursery:
        for number, caller in enumerate(callers):
            nursery.start_soon(send, caller, start + number / rate)
