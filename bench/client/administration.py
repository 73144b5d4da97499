"""Client of the administration API."""

from bench.bench_error import BenchError
from bench.client.json_call import call_once
from bench.plans.workspace_plan import WorkspacePlan


class AdministrationError(BenchError):
    """An administration call did not succeed."""


async def create_workspace(
    address: str, credential: str, workspace: WorkspacePlan
) -> str:
    """Create a workspace with its limits and return a key for it.

    Raises
    ------
    AdministrationError
        If a call is refused or not answered.
    """
    body: dict[str, object] = {
        "name": workspace.name,
        "rate": workspace.rate,
        "burst": workspace.burst,
        "weight": workspace.weight,
    }
    await change(address, credential, "POST", "/v1/workspaces", body)
    target = f"/v1/workspaces/{workspace.name}"
    answer = await change(address, credential, "POST", f"{target}/keys", {})
    return str(answer["key"])


async def raise_bounds(address: str, credential: str, rate: float, burst: int) -> None:
    """Set the highest limits that a workspace may have.

    Raises
    ------
    AdministrationError
        If the call is refused or not answered.
    """
    highest: dict[str, object] = {"highest": {"rate": rate, "burst": burst}}
    await change(address, credential, "PUT", "/v1/head-office", highest)


async def change(
    address: str, credential: str, method: str, target: str, body: dict[str, object]
) -> dict[str, object]:
    """Make a change through the administration API and return the answer.

    Raises
    ------
    AdministrationError
        If the call is refused or not answered.
    """
    headers = (("Authorization", f"Bearer {credential}"),)
    status, answer = await call_once(address, method, target, body, headers)
    if not 200 <= status < 300:
        detail = f"{method} {target} at {address}: status {status}, {answer}"
        raise AdministrationError(detail)
    return answer
