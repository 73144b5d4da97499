"""Log and metric of the requests that the member router refuses at once."""

from absl import logging

from jackdawspread.decisions.members.routing_refusal import RoutingRefusal
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.tasks.fleet.fleet_metrics import ROUTING_REFUSALS


class RefusalLog:
    """Counts refusals; logs the first of each reason, group and set of regions."""

    def __init__(self) -> None:
        self._logged: set[tuple[RoutingRefusal, str, frozenset[str]]] = set()

    def report(self, reason: RoutingRefusal, request: ConnectionRequest) -> None:
        """Report a refusal."""
        ROUTING_REFUSALS.labels(reason.value).inc()
        kind = (reason, request.group, request.allowed_regions)
        if kind not in self._logged:
            self._logged.add(kind)
            logging.info(
                "router: refused reason=%s group=%s allowed_regions=%s",
                reason.value,
                request.group,
                ",".join(sorted(request.allowed_regions)) or "any",
            )
