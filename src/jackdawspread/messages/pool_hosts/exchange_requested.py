"""Exchange that a pool host runs on a leased connection."""

from typing import NamedTuple

from jackdawspread.messages.statements.member_command import MemberCommand


class ExchangeRequested(NamedTuple):
    """Asks a pool host to run commands on a leased connection.

    Parameters
    ----------
    lease : int
        Id of the lease.
    exchange : int
        Id of the exchange, unique on the stream.
    commands : tuple of MemberCommand
        Commands in their order.
    time_left_s : float
        Seconds after which an unfinished exchange fails.
    """

    lease: int
    exchange: int
    commands: tuple[MemberCommand, ...]
    time_left_s: float
