"""Instances with rate leases at a store that can be restored from a copy."""

from math import inf

from jackdawspread.decisions.rate_leases.lease_writes import (
    PARTS,
    carry_over_leases,
    held_parts,
    write_leases,
)
from jackdawspread.messages.fleet.store_epoch import StoreEpoch
from jackdawspread.tasks.fleet.rate_lease_task import EXPIRY_MARGIN_S

START_S = 100.0


class RestoredLeases:
    """Applies steps of instances and of the store, and records who uses each part.

    Every instance uses a lease that it knows until shortly before its expiry.

    Parameters
    ----------
    instances : int
        Number of instances.
    """

    def __init__(self, instances: int) -> None:
        self.now = START_S
        self.most_users = 0
        self._record: dict = {}
        self._epoch = StoreEpoch(1, -inf)
        self._copy: dict = {}
        # What each instance knows: the number of the epoch and the record.
        self._known: list[tuple[int, dict]] = [(0, {}) for _ in range(instances)]

    def write(self, number: int) -> None:
        """Let an instance read the record and write it."""
        name = f"i{number}"
        if self._epoch.began_s == inf:
            # The first answer of the epoch gives the time of its beginning.
            self._epoch = self._epoch._replace(began_s=self.now)
        epoch, known = self._known[number]
        record = self._record
        if 0 < epoch < self._epoch.number:
            record = carry_over_leases(record, known, name, self.now)
        self._record = write_leases(record, name, "a:1", START_S, self._epoch, self.now)
        self._known[number] = (self._epoch.number, self._record)

    def crash(self, number: int) -> None:
        """Let an instance lose what it knows."""
        self._known[number] = (0, {})

    def copy(self, number: int) -> None:
        """Copy the store."""
        self._copy = self._record

    def restore(self, number: int) -> None:
        """Restore the store from the copy."""
        self._record = self._copy
        self._epoch = StoreEpoch(self._epoch.number + 1, inf)

    def wait(self, seconds: float) -> None:
        """Let time pass, and count the users of each part."""
        self.now += seconds
        for part in PARTS:
            users = [
                number
                for number, (_, known) in enumerate(self._known)
                if part in held_parts(known, f"i{number}")
                and known[part]["until"] - EXPIRY_MARGIN_S > self.now
            ]
            self.most_users = max(self.most_users, len(users))
