"""Log lines about acknowledgements."""

from math import inf

from absl import logging
from trio import current_time

from jackdawspread.messages.fleet.confirm_commit import ConfirmCommit
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.position import Position
from jackdawspread.tasks.fleet.fleet_metrics import LOST_COMMITS

# Without a permit every commit is verified. The line of each statement names the
# result, so one line a second for each group is enough here.
VERIFICATION_INTERVAL_S = 1.0


class AcknowledgementLog:
    """Logs the changes of states and permits, and verifications, with a bound."""

    def __init__(self) -> None:
        self._is_permitted = False
        self._logged_at_by_key: dict[tuple[str, str], float] = {}
        self._omitted_by_key: dict[tuple[str, str], int] = {}
        # Ends of promoted logs, by group. A record names it until the next promotion.
        self._reported_end_by_group: dict[str, Position | None] = {}

    def log_change(
        self, before: PromotionState, state: PromotionState, source: str
    ) -> None:
        """Log a changed state.

        At its start an instance learns the states of all groups at once, most of which
        say that no promotion is in progress.
        """
        is_first = not before.token
        is_idle = not (state.is_suspended or state.outstanding)
        if (is_first and is_idle) or _content(before) == _content(state):
            return
        logging.info(
            "acknowledgements: state group=%s token=%d suspended=%s outstanding=%s "
            "source=%s",
            state.group,
            state.token,
            str(state.is_suspended).lower(),
            ",".join(state.outstanding) or "none",
            source,
        )

    def log_permit(self, is_permitted: bool, age_s: float) -> None:
        """Log the permit if it was lost or regained."""
        if is_permitted == self._is_permitted:
            return
        self._is_permitted = is_permitted
        logging.info(
            "acknowledgements: permit %s age_ms=%s",
            "regained" if is_permitted else "lost",
            "none" if age_s == inf else round(1000 * age_s),
        )

    def log_verification(
        self,
        commit: ConfirmCommit,
        result: str,
        members: frozenset[str],
        elapsed_s: float,
    ) -> None:
        """Log a verification unless one with this result was just logged."""
        key = commit.group, result
        now = current_time()
        if now < self._logged_at_by_key.get(key, -inf) + VERIFICATION_INTERVAL_S:
            self._omitted_by_key[key] = self._omitted_by_key.get(key, 0) + 1
            return
        self._logged_at_by_key[key] = now
        logging.info(
            "acknowledgements: %s group=%s position=%s members=%s elapsed_ms=%.0f "
            "omitted=%d",
            result,
            commit.group,
            describe_position(commit.position),
            ",".join(sorted(members)) or "none",
            1000 * elapsed_s,
            self._omitted_by_key.pop(key, 0),
        )

    def log_missing(self, state: PromotionState, acknowledged: Position) -> None:
        """Log and count an acknowledged commit that a promoted log lacks, once."""
        if self._reported_end_by_group.get(state.group) == state.log_end:
            return
        self._reported_end_by_group[state.group] = state.log_end
        LOST_COMMITS.inc()
        logging.error(
            "acknowledgements: acknowledged commits missing group=%s "
            "acknowledged=%s log_end=%s token=%d",
            state.group,
            describe_position(acknowledged),
            describe_position(state.log_end),
            state.token,
        )


def _content(state: PromotionState) -> PromotionState:
    return state._replace(epoch=0, version=0)


def describe_position(position: Position | None) -> str:
    """Return a position as text for the log."""
    return "none" if position is None else f"{position.term}.{position.sequence}"
