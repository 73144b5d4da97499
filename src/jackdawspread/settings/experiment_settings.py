"""Policies that are varied in experiments."""

from typing import NamedTuple


class ExperimentSettings(NamedTuple):
    """Policies of an instance that are varied in experiments.

    The defaults are the policies that the product uses.

    Parameters
    ----------
    queueing : str
        ``fair`` among workspaces, or ``fifo``.
    pooling : str
        ``owner``: the owner of a database schedules its requests.
        ``independent``: every instance schedules its own requests on an equal
        share of each member's connections.
    rates : str
        ``borrow`` tokens from peers, or an ``even`` split.
    preparation : str
        Whether the likely next primary is prepared as soon as the primary is
        suspected: ``on`` or ``off``.
    replica_reads : str
        ``on``, or ``off`` to read only from the primary.
    retries : str
        ``budget`` to limit the retries, or ``plain`` to limit them only by the
        deadline.
    """

    queueing: str = "fair"
    pooling: str = "owner"
    rates: str = "borrow"
    preparation: str = "off"
    replica_reads: str = "on"
    retries: str = "budget"


DEFAULT_EXPERIMENT = ExperimentSettings()
