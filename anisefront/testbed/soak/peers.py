"""Relay for datagrams between gateway instances, which can partition them.

An instance receives the datagrams of each peer from a separate address.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from anisefront.testbed.soak import platform


class Peers:
    """A relay port for each ordered pair of instances.

    A datagram that arrives at port (i, j) is sent to j from port (j, i), which is the address of i that j knows.
    """

    def __init__(self) -> None:
        """Reserve a listening port for each instance."""
        self.listen_ports = [platform.free_port(socket.SOCK_DGRAM) for _ in range(platform.INSTANCES)]
        self.partition: set[int] = set()  # instances on one side; the rest are on the other
        self._transports: dict[tuple[int, int], Any] = {}

    async def start(self) -> None:
        """Open the relay ports."""
        loop = asyncio.get_running_loop()
        for sender in range(platform.INSTANCES):
            for receiver in range(platform.INSTANCES):
                if sender != receiver:
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda direction=(sender, receiver): _RelayProtocol(self, direction),
                        local_addr=("127.0.0.1", 0),
                    )
                    self._transports[sender, receiver] = transport

    def addresses(self, number: int) -> list[str]:
        """Return the address of each instance, in order of number, as instance `number` has to use it."""
        own_address = f"{platform.instance_host()}:{self.listen_ports[number]}"
        return [
            own_address
            if other == number
            else f"127.0.0.1:{self._transports[number, other].get_extra_info('sockname')[1]}"
            for other in range(platform.INSTANCES)
        ]

    def forward(self, sender: int, receiver: int, data: bytes) -> None:
        """Forward a datagram, unless the partition separates the two instances."""
        if (sender in self.partition) == (receiver in self.partition):
            self._transports[receiver, sender].sendto(data, (platform.instance_host(), self.listen_ports[receiver]))

    def close(self) -> None:
        """Close the relay ports."""
        for transport in self._transports.values():
            transport.close()


class _RelayProtocol(asyncio.DatagramProtocol):
    def __init__(self, peers: Peers, direction: tuple[int, int]) -> None:
        self._peers, self._direction = peers, direction

    def datagram_received(self, data: bytes, address: object) -> None:
        self._peers.forward(*self._direction, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable instances: they are being restarted."""
