"""Client of the administration API."""

from bench.bench_error import BenchError
from bench.client.json_call import call_once
from bench.plans.workspace_plan import WorkspacePlan


class AdministrationError(BenchError):
    """An administration call did not succeed."""


async def create_workspace(
    address: str, credential: str, workspace: WorkspacePlan
) -> str:
    """Create a workspace and return a key for it.

    Raises
    ------
    AdministrationError
        If a call is refused or not answered.
    """
    limits = {
        "name": workspace.name,
        "rate": workspace.rate,
        "burst": workspace.burst,
        "weight": workspace.weight,
    }
    await _post(address, credential, "/v1/workspaces", limits)
    target = f"/v1/workspaces/{workspace.name}/keys"
    return str((await _post(address, credential, target, {}))["key"])


async def _post(
    address: str, credential: str, target: str, body: dict[str, object]
) -> dict[str, object]:
    headers = (("Authorization", f"Bearer {credential}"),)
    status, answer = await call_once(address, "POST", target, body, headers)
    if not 200 <= status < 300:
        detail = f"POST {target} at {address}: status {status}, {answer}"
        raise AdministrationError(detail)
    return answer
