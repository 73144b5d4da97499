"""Attempt at an operation."""

from typing import NamedTuple


class Attempt(NamedTuple):
    """One call made for an operation.

    Parameters
    ----------
    instance : str
        Address of the instance called.
    status : int
        HTTP status; 0 if no response arrived.
    code : str
        Code of the refusal, ``no_connection`` or ``no_answer``; empty if answered.
    ran : str
        ``not_run``, ``ran`` or ``unknown``; empty if answered.
    """

    instance: str
    status: int
    code: str
    ran: str
