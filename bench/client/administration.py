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
        "rate": workspace.rate,
        "burst": workspace.burst,
        "weight": workspace.weight,
    }
    own = f"/v1/workspaces/{workspace.name}"
    created = {"name": workspace.name}
    await _change(address, credential, "POST", "/v1/workspaces", created)
    await _change(address, credential, "PUT", f"{own}/limits", limits)
    answer = await _change(address, credential, "POST", f"{own}/keys", {})
    return str(answer["key"])


async def _change(
    address: str, credential: str, method: str, target: str, body: dict[str, object]
) -> dict[str, object]:
    headers = (("Authorization", f"Bearer {credential}"),)
    status, answer = await call_once(address, method, target, body, headers)
    if not 200 <= status < 300:
        detail = f"{method} {target} at {address}: status {status}, {answer}"
        raise AdministrationError(detail)
    return answer
