"""Stand-in for the platform's promotion call."""

import json
from math import inf

from features.wire.promotion_request_seen import PromotionRequestSeen
from features.wire.replicated_group import ReplicatedGroup
from trio import Event, Nursery, move_on_after, sleep, sleep_forever

from jackdawspread.messages.http_request import HttpRequest

EFFECT_S = 0.6
DONE, CONFLICT = 200, 409


class PromotionCall:
    """Executes promotion calls, at once or late.

    Parameters
    ----------
    group : ReplicatedGroup
        Group of which a member is promoted.
    nursery : trio.Nursery
        Runs what happens after an answer.
    """

    def __init__(self, group: ReplicatedGroup, nursery: Nursery) -> None:
        self._group = group
        self._nursery = nursery
        self._token = 0
        # Whether the answers of calls are lost. Such a call is executed when it is
        # released, or after the time if there is one.
        self.is_late = False
        self.late_s = inf
        self.requests: list[PromotionRequestSeen] = []
        self._released = Event()
        self._requested = Event()

    async def handle(self, request: HttpRequest) -> int:
        """Return the status of a call."""
        token = int(request.headers["jackdawspread-fencing-token"])
        member = json.loads(request.body)["Id"]
        self.requests.append(PromotionRequestSeen(token, member))
        self._requested.set()
        self._requested = Event()
        if self.is_late:
            self._nursery.start_soon(self._execute_late, token, member)
            await sleep_forever()
        status = self._check(token, member)
        if status == DONE and not self._leads(member):
            self._nursery.start_soon(self._take_effect, token, member, EFFECT_S)
        return status

    async def _execute_late(self, token: int, member: str) -> None:
        with move_on_after(self.late_s):
            await self._released.wait()
        if self._check(token, member) == DONE and not self._leads(member):
            await self._take_effect(token, member, 0.0)

    def release(self) -> None:
        """Execute the calls that wait; later ones are answered."""
        self.is_late = False
        self._released.set()
        self._released = Event()

    async def wait_for_request(self, count: int = 1) -> None:
        """Wait until so many requests have arrived in all."""
        while len(self.requests) < count:
            await self._requested.wait()

    async def wait_for_request_or(self, count: int, seconds: float) -> None:
        """Wait until so many requests have arrived in all, or for a time."""
        with move_on_after(seconds):
            await self.wait_for_request(count)

    async def _take_effect(self, token: int, member: str, effect_s: float) -> None:
        await sleep(effect_s)
        # A call with a higher token replaces one that has not taken effect.
        is_newest = token == self._token and member in self._group.member_by_id
        if is_newest and not self._leads(member):
            self._group.promote(self._group.member_by_id[member])

    def _check(self, token: int, member: str) -> int:
        if token < self._token or member not in self._group.member_by_id:
            return CONFLICT
        self._token = token
        return DONE

    def _leads(self, member: str) -> bool:
        return self._group.leader is self._group.member_by_id[member]
