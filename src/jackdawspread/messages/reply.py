"""Reply to a request: an answer or a refusal."""

from expression import Result

from jackdawspread.messages.answer import Answer
from jackdawspread.messages.refusal import Refusal

Reply = Result[Answer, Refusal]
