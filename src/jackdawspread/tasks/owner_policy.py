"""Policies of one owner."""

from typing import NamedTuple

from jackdawspread.decisions.owner.fair_queue_state import empty_fair_queue
from jackdawspread.decisions.owner.fifo_queue_state import empty_fifo_queue
from jackdawspread.decisions.owner.request_queue import RequestQueue
from jackdawspread.decisions.owner.retry_budget import RetryBudget, RetryPolicy
from jackdawspread.decisions.owner.unlimited_retries import UnlimitedRetries
from jackdawspread.settings.experiment_settings import ExperimentSettings


class OwnerPolicy(NamedTuple):
    """Initial states whose types select the policies, and switches.

    Parameters
    ----------
    queue : RequestQueue
        Empty queue; its type selects the queueing discipline.
    retries : RetryPolicy
        Initial state of the retry rule; its type selects the rule.
    prewarm_on_suspicion : bool
        Whether to open connections to the likely next primary when the primary is
        suspected.
    replica_reads : bool
        Whether replicas may serve reads.
    is_independent : bool
        Whether each instance schedules its own callers' requests, instead of
        routing them to the active owner.
    """

    queue: RequestQueue
    retries: RetryPolicy
    prewarm_on_suspicion: bool
    replica_reads: bool
    is_independent: bool


def owner_policy(experiment: ExperimentSettings) -> OwnerPolicy:
    """Return the policies that the settings select, with an empty queue."""
    is_fifo = experiment.queueing == "fifo"
    is_plain = experiment.retries == "plain"
    return OwnerPolicy(
        queue=empty_fifo_queue() if is_fifo else empty_fair_queue(),
        retries=UnlimitedRetries() if is_plain else RetryBudget(),
        prewarm_on_suspicion=experiment.preparation == "on",
        replica_reads=experiment.replica_reads == "on",
        is_independent=experiment.pooling == "independent",
    )
