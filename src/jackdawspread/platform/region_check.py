"""Check of the regions that a configuration names."""

from collections.abc import Iterable

from absl import logging

from jackdawspread.messages.fleet.fleet_configuration import FleetConfiguration


class RegionCheck:
    """Logs each unknown region once; a region that is not known allows nothing.

    Parameters
    ----------
    regions : iterable of str
        Regions of the deployment.
    """

    def __init__(self, regions: Iterable[str]) -> None:
        self._known = set(regions)

    def report(self, configuration: FleetConfiguration) -> None:
        """Log the regions of a configuration that are not known."""
        named = (
            *(
                route.allowed_regions
                for route in configuration.route_by_database.values()
            ),
            *configuration.regions_by_workspace.values(),
        )
        unknown = frozenset[str]().union(*named) - self._known
        for region in sorted(unknown):
            logging.error(
                "configuration: unknown region allows nothing version=%d name=%r",
                configuration.version,
                region[:80],
            )
        self._known |= unknown
