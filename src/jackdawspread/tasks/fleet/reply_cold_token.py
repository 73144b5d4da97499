"""Replies to requests for tokens of cold members."""

from absl import logging
from trio import BrokenResourceError

from jackdawspread.messages.fleet.cold_token_request import ColdTokenRequest
from jackdawspread.tasks.fleet.fleet_metrics import COLD_TOKENS


def reply_cold_token(request: ColdTokenRequest, wait_s: float | None) -> None:
    """Grant a token if ``wait_s`` is None, else reply when one may be available."""
    COLD_TOKENS.labels("granted" if wait_s is None else "refused").inc()
    try:
        request.reply_to.send_nowait(wait_s)
    except BrokenResourceError:
        logging.vlog(1, "admission: reply dropped, the session has ended")
