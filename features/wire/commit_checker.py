"""Check of what callers were told against the logs."""

from collections import Counter

from features.wire.replicated_group import ReplicatedGroup
from features.wire.replicated_member import ReplicatedMember
from features.wire.write_ledger import WriteLedger


class CommitChecker:
    """Notes the faults that callers could see.

    A commit that no replica had to receive may be missing after a promotion.
    """

    def __init__(self, group: ReplicatedGroup, ledger: WriteLedger) -> None:
        self._group = group
        self._ledger = ledger
        self.faults: list[str] = []
        self.promotions = 0
        group.on_promotion = self._check_promotion

    def _check_promotion(self, leader: ReplicatedMember) -> None:
        self.promotions += 1
        self._check_acknowledged(leader, f"promotion of {leader.id}")

    def check_end(self, leader: ReplicatedMember) -> None:
        """Check the log of the last leader."""
        self._check_acknowledged(leader, "end")
        ids = Counter(leader.log.ids)
        twice = [id for id, count in ids.items() if count > 1]
        if twice:
            self.faults.append(f"writes run twice: {twice}")
        if untrue := self._ledger.not_run & ids.keys():
            self.faults.append(f"refused as not run but in the log: {sorted(untrue)}")

    def _check_acknowledged(self, leader: ReplicatedMember, event: str) -> None:
        instance_by_id = self._ledger.instance_by_acknowledged
        held = self._group.asynchronous_ids | set(leader.log.ids)
        lost = [id for id in instance_by_id if id not in held]
        if lost:
            by_instance = Counter(instance_by_id[id] for id in lost)
            self.faults.append(
                f"{len(lost)} acknowledged writes missing at {event}, by instance "
                f"{dict(by_instance)}, log ends at {leader.log.end}"
            )
