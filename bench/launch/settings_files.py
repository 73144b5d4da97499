"""Writes the settings files of entry instances."""

from collections.abc import Mapping
from configparser import ConfigParser
from hashlib import sha256
from pathlib import Path

from bench.launch.fleet_layout import FleetLayout
from bench.plans.deployment_plan import DeploymentPlan


def write_settings(
    directory: Path,
    plan: DeploymentPlan,
    layout: FleetLayout,
    experiment: Mapping[str, str],
) -> dict[str, Path]:
    """Write one INI file for each instance and return the paths by instance."""
    paths = {}
    for index, (name, addresses) in enumerate(layout.instance_by_name.items()):
        parser = ConfigParser(interpolation=None)
        parser["instance"] = {
            "caller_address": addresses.caller,
            "admin_address": addresses.admin,
            "peer_address": addresses.peer,
            "failure_domain": plan.failure_domains[index % len(plan.failure_domains)],
        }
        parser["platform"] = {"address": layout.platform_address}
        credential = layout.operator_credential.encode()
        parser["secrets"] = {
            "session_secret": layout.session_secret,
            "operator_key_hash": sha256(credential).hexdigest(),
        }
        for database in plan.databases:
            members = layout.members_by_database[database.name]
            parser[f"database {database.name}"] = {
                "members": ", ".join(members.values()),
                "slots": str(database.slots),
                "connections": str(database.connections),
            }
        if experiment:
            parser["experiment"] = dict(experiment)
        paths[name] = directory / f"{name}.ini"
        with paths[name].open("w", encoding="utf-8") as file:
            parser.write(file)
    return paths
