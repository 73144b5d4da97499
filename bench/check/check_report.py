"""Result of the checks of a run."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class CheckReport(NamedTuple):
    """Counts of a run; lists hold the ids concerned.

    Parameters
    ----------
    acknowledged : int
        Binding writes acknowledged that say they left their record.
    lost, doubled : tuple of str
        Acknowledged records that are missing; records that exist more than once.
    unclaimed : tuple of str
        Records whose write was acknowledged as without effect.
    mismatches : tuple of str
        Things whose records and totals disagree.
    refused_not_run : int
        Operations for which every answer said ``not_run``.
    ran_despite_refusal : tuple of str
        Those of them that ran.
    own_reads : int
        Reads of the caller's own records.
    own_reads_missing : tuple of str
        Those that lacked an acknowledged record.
    wrong_answers : tuple of str
        Answers without the marker of their request.
    replica_reads, stale_reads : int
        Reads that replicas served, of the reads that may go there.
    failover_gap_by_database : mapping of str to float
        Seconds without an acknowledged write around the loss of a primary.
    worst_workspace : str
        Workspace with the smallest share of its operations acknowledged.
    worst_share : float
        That share.
    unread : tuple of str
        Databases that could not be checked.
    logs_unread : tuple of str
        Members whose log could not be read.
    """

    acknowledged: int
    lost: tuple[str, ...]
    doubled: tuple[str, ...]
    unclaimed: tuple[str, ...]
    mismatches: tuple[str, ...]
    refused_not_run: int
    ran_despite_refusal: tuple[str, ...]
    unread: tuple[str, ...]
    logs_unread: tuple[str, ...]
    own_reads: int = 0
    own_reads_missing: tuple[str, ...] = ()
    wrong_answers: tuple[str, ...] = ()
    replica_reads: int = 0
    stale_reads: int = 0
    failover_gap_by_database: Mapping[str, float] = MappingProxyType({})
    worst_workspace: str = ""
    worst_share: float = 0.0
