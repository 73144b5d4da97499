"""Connection to a fake member, a substitute for the HTTP client connection."""

from features.fakes.fake_member import FakeMember
from trio import (
    CancelScope,
    MemoryReceiveChannel,
    current_time,
    sleep,
    sleep_forever,
)

from jackdawspread.messages.http_call import HttpCall
from jackdawspread.messages.http_outcome import HttpOutcome

STATEMENTS = ("/read", "/write", "/begin", "/execute", "/commit", "/outcome")


class FakeConnection:
    """Makes the calls of its inbox; a lost answer can be delivered late."""

    def __init__(
        self, id: int, member: FakeMember, inbox: MemoryReceiveChannel[HttpCall]
    ) -> None:
        self._id, self._member, self._inbox = id, member, inbox

    async def run(self) -> None:
        """Make calls until one fails."""
        member = self._member
        member.connections += 1
        peak = max(member.peak_connections, member.connections)
        member.peak_connections = peak
        try:
            await self._make_calls()
        finally:
            member.connections -= 1

    async def _make_calls(self) -> None:
        with self._inbox:
            async for call in self._inbox:
                outcome = await self._count(call)
                call.reply_to.send_nowait(outcome)
                if outcome.error:
                    return

    async def _count(self, call: HttpCall) -> HttpOutcome:
        member = self._member
        change = call.target in STATEMENTS
        member.statements += change
        member.peak_statements = max(member.peak_statements, member.statements)
        try:
            return await self._call(call)
        finally:
            member.statements -= change

    async def _call(self, call: HttpCall) -> HttpOutcome:
        member = self._member
        if member.is_refusing:
            error = "connection failed: refused"
            return HttpOutcome(call.id, self._id, 0, {}, False, error)
        with CancelScope(deadline=call.deadline):
            connect = 0.01 if call.target == "/connect" else 0
            await sleep(member.service + connect)
            if member.is_unreachable or self._take(member.dropped_calls, call):
                await sleep_forever()
            if call.target == "/confirm":
                await sleep(member.lag)
            now = current_time()
            status, body = member.handle(self._id, call.target, call.body, now)
            answer = HttpOutcome(call.id, self._id, status, body, True)
            if not self._take(member.lost_answers, call):
                return answer
            await self._answer_late(call, answer)
        return HttpOutcome(call.id, self._id, 0, {}, True, "no answer in time")

    async def _answer_late(self, call: HttpCall, answer: HttpOutcome) -> None:
        """Store the answer for late delivery when the owner closes the connection."""
        try:
            await sleep_forever()
        finally:
            self._member.late_answers.append((call.reply_to, answer))

    def _take(self, targets: list[str], call: HttpCall) -> bool:
        if call.target not in targets:
            return False
        targets.remove(call.target)
        return True
