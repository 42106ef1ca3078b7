"""Datagrams between gateway instances: each hears a peer from that peer's own address, until a cut."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from anisefront.testbed.soak import platform


class Peers:
    """A port for each ordered pair; what comes to (i, j) leaves for j from (j, i), where j knows i."""

    def __init__(self) -> None:
        self.listens = [platform.free_port(socket.SOCK_DGRAM) for _ in range(platform.INSTANCES)]
        self.cut: set[int] = set()  # these numbers on one side, the rest on the other
        self._ports: dict[tuple[int, int], Any] = {}

    async def start(self) -> None:
        """Open the ports."""
        loop = asyncio.get_running_loop()
        for sender in range(platform.INSTANCES):
            for receiver in range(platform.INSTANCES):
                if sender != receiver:
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda pair=(sender, receiver): _Port(self, pair), local_addr=("127.0.0.1", 0)
                    )
                    self._ports[sender, receiver] = transport

    def addresses(self, number: int) -> list[str]:
        """All instances by number, as one of them reaches them."""
        own = f"{platform.instances_host()}:{self.listens[number]}"
        return [
            own if other == number else f"127.0.0.1:{self._ports[number, other].get_extra_info('sockname')[1]}"
            for other in range(platform.INSTANCES)
        ]

    def pass_on(self, sender: int, receiver: int, data: bytes) -> None:
        """Send a datagram on, unless a cut lies between the two."""
        if (sender in self.cut) == (receiver in self.cut):
            self._ports[receiver, sender].sendto(data, (platform.instances_host(), self.listens[receiver]))

    def close(self) -> None:
        """Close the ports."""
        for port in self._ports.values():
            port.close()


class _Port(asyncio.DatagramProtocol):
    def __init__(self, peers: Peers, pair: tuple[int, int]) -> None:
        self._peers, self._pair = peers, pair

    def datagram_received(self, data: bytes, address: object) -> None:
        self._peers.pass_on(*self._pair, data)

    def error_received(self, exc: Exception) -> None:
        """The instance is away."""
