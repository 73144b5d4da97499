"""Creates the workspaces and the callers of a deployment."""

from bench.client.administration import create_workspace
from bench.launch.fleet import Fleet
from bench.load.caller_profile import CallerProfile


async def create_callers(
    fleet: Fleet, callers_per_workspace: int
) -> list[CallerProfile]:
    """Create workspaces, spread over the instances, and name their callers.

    Without a platform there is no configuration, and the keys stay empty.
    """
    admins = [a.admin for a in fleet.layout.instance_by_name.values()]
    profiles: list[CallerProfile] = []
    for index, workspace in enumerate(fleet.plan.workspaces):
        key = ""
        if fleet.plan.starts_platform:
            admin = admins[index % len(admins)]
            credential = fleet.layout.operator_credential
            key = await create_workspace(admin, credential, workspace)
        for _ in range(callers_per_workspace):
            caller = f"caller-{len(profiles)}"
            profiles.append(CallerProfile(caller, workspace.name, key))
    return profiles
