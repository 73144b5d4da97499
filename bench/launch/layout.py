"""Chooses the addresses of a deployment."""

from secrets import token_hex

from bench.launch.fleet_layout import FleetLayout
from bench.launch.instance_addresses import InstanceAddresses
from bench.launch.ports import free_addresses
from bench.plans.deployment_plan import DeploymentPlan


def choose_layout(plan: DeploymentPlan) -> FleetLayout:
    """Choose free ports and credentials for a deployment."""
    members = sum(database.members for database in plan.databases)
    addresses = iter(free_addresses(1 + members + 3 * plan.instances))
    return FleetLayout(
        platform_address=next(addresses),
        members_by_database={
            database.name: {
                f"{database.name}-{n}": next(addresses)
                for n in range(1, database.members + 1)
            }
            for database in plan.databases
        },
        instance_by_name={
            f"entry-{n}": InstanceAddresses(
                next(addresses), next(addresses), next(addresses)
            )
            for n in range(1, plan.instances + 1)
        },
        operator_credential=token_hex(32),
        session_secret=token_hex(32),
    )
