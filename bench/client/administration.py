"""Client of the administration API."""

from trio import sleep

from bench.bench_error import BenchError
from bench.client.json_call import call_once
from bench.plans.workspace_plan import WorkspacePlan

# An instance is ready for callers a little before it has read the platform.
ATTEMPTS, RETRY_S = 100, 0.05


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
    target = f"/v1/workspaces/{workspace.name}"
    limits: dict[str, object] = {
        "rate": workspace.rate,
        "burst": workspace.burst,
        "weight": workspace.weight,
    }
    await _call(address, credential, "POST", "/v1/workspaces", {"name": workspace.name})
    await _call(address, credential, "PUT", f"{target}/limits", limits)
    return str((await _call(address, credential, "POST", f"{target}/keys", {}))["key"])


async def raise_bounds(address: str, credential: str, rate: float, burst: int) -> None:
    """Set the highest limits that a workspace may have.

    Raises
    ------
    AdministrationError
        If the call is refused or not answered.
    """
    highest: dict[str, object] = {"highest": {"rate": rate, "burst": burst}}
    await _call(address, credential, "PUT", "/v1/head-office", highest)


async def _call(
    address: str, credential: str, method: str, target: str, body: dict[str, object]
) -> dict[str, object]:
    headers = (("Authorization", f"Bearer {credential}"),)
    for _ in range(ATTEMPTS):
        status, answer = await call_once(address, method, target, body, headers)
        if answer.get("code") != "platform_unavailable":
            break
        await sleep(RETRY_S)
    if not 200 <= status < 300:
        detail = f"{method} {target} at {address}: status {status}, {answer}"
        raise AdministrationError(detail)
    return answer
