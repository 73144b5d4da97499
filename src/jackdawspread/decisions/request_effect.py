"""Effects of a member's answer on a request."""

from jackdawspread.decisions.await_confirmation import AwaitConfirmation
from jackdawspread.decisions.finish_request import FinishRequest
from jackdawspread.decisions.repeat_request import RepeatRequest

RequestEffect = FinishRequest | AwaitConfirmation | RepeatRequest
