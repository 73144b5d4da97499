"""Policies that experiments compare."""

from typing import NamedTuple


class ExperimentSettings(NamedTuple):
    """Policies of an instance; the defaults are the product's choice.

    Parameters
    ----------
    queueing : str
        ``fair`` by workspace, or ``fifo``.
    pooling : str
        ``owner``: one owner schedules a database. ``independent``: every instance
        schedules by itself with an equal share of each member's connections.
    rates : str
        ``borrow`` from peers, or an ``even`` split.
    preparation : str
        Whether the likely next primary is made ready at suspicion: ``on`` or
        ``off``.
    replica_reads : str
        ``on``, or ``off`` to read from the primary only.
    retries : str
        Within a ``budget``, or ``plain`` without a bound but the deadline.
    """

    queueing: str = "fair"
    pooling: str = "owner"
    rates: str = "borrow"
    preparation: str = "off"
    replica_reads: str = "on"
    retries: str = "budget"


DEFAULT_EXPERIMENT = ExperimentSettings()
