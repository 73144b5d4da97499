"""Forwards datagrams between instances, so that a test can drop them."""

from features.wire.fault_links import FaultLinks
from trio import Nursery
from trio.socket import SOCK_DGRAM, SocketType, socket

MAX_BYTES = 64 * 1024


class DatagramForwarder:
    """Has one address for each instance, with the port of the instances.

    An instance takes a datagram only from that port and replies to its sender, so one
    that comes from instance K leaves from the forwarder's address of K.

    Parameters
    ----------
    links : FaultLinks
        Silent directions, in which datagrams are dropped.
    address_by_instance, front_by_instance : dict
        IP of each instance, and the forwarder's IP in its place.
    port : int
        Port of all of them.
    """

    def __init__(
        self,
        links: FaultLinks,
        address_by_instance: dict[str, str],
        front_by_instance: dict[str, str],
        port: int,
    ) -> None:
        self._links = links
        self._address_by_instance = address_by_instance
        self._front_by_instance = front_by_instance
        self._port = port
        self._socket_by_instance: dict[str, SocketType] = {}

    async def start(self, nursery: Nursery) -> None:
        """Bind all addresses and forward until cancelled."""
        for instance, ip in self._front_by_instance.items():
            self._socket_by_instance[instance] = front = socket(type=SOCK_DGRAM)
            await front.bind((ip, self._port))
        for instance in self._socket_by_instance:
            nursery.start_soon(self._forward, instance)

    async def _forward(self, receiver: str) -> None:
        instance_by_ip = {ip: name for name, ip in self._address_by_instance.items()}
        front = self._socket_by_instance[receiver]
        target = (self._address_by_instance[receiver], self._port)
        while True:
            try:
                data, (ip, _) = await front.recvfrom(MAX_BYTES)
                sender = instance_by_ip.get(ip, "")
                if sender and not self._links.is_silent(sender, receiver):
                    await self._socket_by_instance[sender].sendto(data, target)
            except OSError:
                # The receiving process has ended.
                continue
