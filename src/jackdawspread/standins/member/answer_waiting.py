"""Answers to requests that wait for a state of the member's log."""

from functools import singledispatch
from typing import Any

from expression import Error, Ok, Result

from jackdawspread.standins.member.check_term import check_term
from jackdawspread.standins.member.decide_confirm import decide_confirm
from jackdawspread.standins.member.decide_replicate import decide_replicate
from jackdawspread.standins.member.member_refusal import MemberRefusal
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.requests.confirm import Confirm
from jackdawspread.standins.member.requests.replicate import Replicate

RequestResult = Result[dict[str, Any], MemberRefusal]


@singledispatch
def answer_waiting(request: object, state: MemberState) -> RequestResult:
    """Return the answer that a waiting request would get in a state of the member."""
    raise TypeError(f"member cannot wait for {type(request).__name__}")


@answer_waiting.register
def _(request: Confirm, state: MemberState) -> RequestResult:
    checked = check_term(state, request.term)
    if checked.is_error():
        return Error(checked.error)
    held = decide_confirm(state, request)
    return Ok({"held": held, "promised": state.promised})


@answer_waiting.register
def _(request: Replicate, state: MemberState) -> RequestResult:
    decided = decide_replicate(state, request)
    if decided.is_error():
        refusal = decided.error
        fields = {**refusal.fields, "name": state.name}
        return Error(refusal._replace(fields=fields))
    return Ok({"entries": decided.ok, "name": state.name})
