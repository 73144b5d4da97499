"""Effects of the outcome of an attempt on its request."""

from jackdawspread.decisions.owner.await_confirmation import AwaitConfirmation
from jackdawspread.decisions.owner.finish_request import FinishRequest
from jackdawspread.decisions.owner.retry_request import RetryRequest

RequestEffect = FinishRequest | AwaitConfirmation | RetryRequest
