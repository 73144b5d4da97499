"""Client that follows the platform's list of instances, as the balancer does."""

from itertools import count

from trio import current_time

from bench.client.json_call import call_once
from bench.client.proxy_caller import ProxyCaller

REFRESH_S = 0.3


class BalancerClient:
    """Keeps one connection to each live instance and uses them in turn.

    Parameters
    ----------
    platform_address : str
        ``IP:port`` of the platform.
    key : str
        Key of the callers.
    """

    def __init__(self, platform_address: str, key: str) -> None:
        self._platform_address = platform_address
        self._key = key
        self._caller_by_address: dict[str, ProxyCaller] = {}
        self._refresh_at = 0.0
        self._turns = count()

    async def next_caller(self) -> ProxyCaller:
        """Return the caller of the next live instance."""
        if current_time() >= self._refresh_at:
            await self._refresh()
        addresses = sorted(self._caller_by_address)
        address = addresses[next(self._turns) % len(addresses)]
        return self._caller_by_address[address]

    async def _refresh(self) -> None:
        _, body = await call_once(self._platform_address, "GET", "/instances")
        live = {
            item["address"] for item in body["instances"] if item["state"] == "live"
        }
        for address in set(self._caller_by_address) - live:
            await self._caller_by_address.pop(address).connection.aclose()
        for address in live - set(self._caller_by_address):
            caller = ProxyCaller(address, address, self._key)
            self._caller_by_address[address] = caller
        self._refresh_at = current_time() + REFRESH_S

    async def aclose(self) -> None:
        """Close every connection."""
        for caller in self._caller_by_address.values():
            await caller.connection.aclose()
        self._caller_by_address.clear()
