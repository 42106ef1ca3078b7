"""Many simulated gateways in one process: their state and peer traffic come from the gateway's own code.

Each has a socket, datagram authentication, membership, and the request table with its controller, put together as in
`daemon/gateway_instance.py`: it has the endpoint list and the settings in force, answers probes, and owns and borrows
quotas. Frontends, routes and keys serve clients only and are left out. Gateways that share customer sets with real ones
accept requests as a frontend would, and each attempt succeeds after a fixed time.
"""

from __future__ import annotations

import gc
import hashlib
import json
import os
import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet import reactor, stdio, task
from twisted.protocols.basic import LineOnlyReceiver

from anisefront.cli.config import checked
from anisefront.cluster import endpoint_file, membership_messages
from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.cluster.member_state import MAX_ROWS, MemberRow, MemberStatus, encode_rows
from anisefront.config.types import Address, Config
from anisefront.daemon.authenticated_datagrams import AuthenticatedDatagrams
from anisefront.daemon.clock import Clock
from anisefront.daemon.endpoint_file import CHECK_INTERVAL_S
from anisefront.daemon.event_loop_monitor import EventLoopMonitor
from anisefront.daemon.gateway_instance import MEMBERSHIP_MARK, REPLICATION_MARK
from anisefront.daemon.membership_service import MembershipService
from anisefront.daemon.peer_port import PeerPort
from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.request_terms import RequestTerms
from anisefront.gateway.routing import LISTED_PREFIX, first_gateway
from anisefront.policy.actions import RejectionReason
from anisefront.policy.controller import Controller
from anisefront.policy.events import AttemptResult, EndpointList
from benchmarks.scale import child, counting
from benchmarks.scale.datagram_relay import crosses
from benchmarks.scale.files import SPREAD, Sizes, customers_of, zone

ATTEMPT_S = 0.02
RECEIVE_BUFFER_BYTES = 1 << 20
_ROWS_HEADER = membership_messages._HEADER.pack(
    membership_messages.MAGIC_BYTE, membership_messages.MessageKind.ROWS, 0, 0
)


class NullLog:
    """A log that discards its events."""

    def info(self, *_: object, **__: object) -> None:
        """Discard the event."""


class CountingPort(PeerPort):
    """A peer port that counts datagrams from real gateways before they are authenticated."""

    def __init__(self, group: GatewayGroup, number: int, *rest: Any) -> None:
        super().__init__(*rest)
        self._group, self._number = group, number

    def datagramReceived(self, datagram: bytes, address: object) -> None:
        """Count and pass on a datagram, unless a partition drops it."""
        sender, _ = counting.ends(datagram)
        if crosses(self._group.isolated_zone, sender, self._number):
            return
        if sender < self._group.reals:
            self._group.tally.count(sender, "out", datagram)
        super().datagramReceived(datagram, address)


class SimulatedAttempts:
    """An attempt handler whose attempts all succeed after `ATTEMPT_S`."""

    def __init__(self, request_table: RequestTable) -> None:
        self._request_table = request_table

    def start_attempt(self, request: int, number: int, worker: str, timeout_ms: float) -> None:
        """Schedule the end of an attempt."""
        reactor.callLater(ATTEMPT_S, self._request_table.attempt_ended, request, number, AttemptResult.OK)

    def cancel_attempt(self, request: int, attempt: int) -> None:
        """Do nothing: the attempt ends by itself."""

    def reject(self, request: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Do nothing: no client waits for the response."""

    def fail(self, request: int) -> None:
        """Do nothing: no client waits for the response."""


class SimulatedGateway:
    """One process incarnation of one simulated gateway."""

    def __init__(self, group: GatewayGroup, number: int, address: tuple[str, int]) -> None:
        config, clock = group.config, group.clock
        self.group, self.number, self.address, self.process_incarnation = group, number, address, int(clock())
        settings = replace(config.settings, number=number, zone=zone(number))
        self.authenticator = DatagramAuthenticator(config.secret, number, self.process_incarnation)
        self.port = CountingPort(
            group, number, AuthenticatedDatagrams(self.authenticator, group.peers), self._on_peer_message
        )
        self.members = MembershipService(
            reactor,
            clock,
            self.port.send,
            NullLog(),
            number,
            self.process_incarnation,
            group.peers,
            group.seed ^ number,
            config.members_ms,
        )
        self.request_table = RequestTable(Controller(settings, group.seed ^ number), clock, reactor, self.port.send)
        self.members.on_unavailable = self.request_table.set_unreachable_peers
        self.attempts, self._client_call = SimulatedAttempts(self.request_table), None

    def start(self) -> None:
        """Open the port and start the membership."""
        self.listen()
        self.start_membership()

    def listen(self) -> None:
        """Open the peer port and take in the endpoint list."""
        host, port = self.address
        self.listener = reactor.listenUDP(port, self.port, interface=host, maxPacketSize=2048)
        self.listener.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.request_table.update_endpoints(self.group.endpoint_list)
        self.request_table.batches.run_scheduled()

    def start_membership(self) -> None:
        """Start the membership and the simulated clients."""
        self.members.start()
        self.restart_clients()

    def _on_peer_message(self, sender: int, data: bytes) -> None:
        """Dispatch a message as `GatewayInstance._on_peer_message` does."""
        if data[:1] == MEMBERSHIP_MARK:
            self.members.receive(sender, self.authenticator.peers[sender].process_incarnation, data)
        elif data[:1] != REPLICATION_MARK:
            self.request_table.receive_peer_message(sender, data)

    def learn_members(self, incarnations: dict[int, int]) -> None:
        """Learn all members at once, as in a settled fleet, with no updates left to disseminate."""
        rows = [
            MemberRow(number, incarnation, 0, MemberStatus.ALIVE)
            for number, incarnation in incarnations.items()
            if number != self.number
        ]
        membership = self.members.membership
        for at in range(0, len(rows), MAX_ROWS):
            membership.handle(
                self.group.clock(),
                [(rows[0].number, rows[0].process_incarnation, _ROWS_HEADER + encode_rows(rows[at : at + MAX_ROWS]))],
            )
        membership._dissemination.clear()
        membership.changes.clear()

    def restart_clients(self) -> None:
        """Start or stop the simulated clients, by the rate of the process."""
        if self._client_call is not None and self._client_call.active():
            self._client_call.cancel()
        if self.number in self.group.customers and self.group.rate > 0:
            self._client_call = reactor.callLater(self.group.rng.expovariate(self.group.rate), self._accept_next)

    def _accept_next(self) -> None:
        """Accept a request and schedule the next one, open loop."""
        group = self.group
        self._client_call = reactor.callLater(group.rng.expovariate(group.rate), self._accept_next)
        customer = LISTED_PREFIX + group.rng.choice(group.customers[self.number])
        settings = group.config.settings
        request_class = settings.classes[0]
        self.request_table.accept(
            self.attempts,
            RequestTerms(
                customer,
                request_class.name,
                settings.plans[0].name,
                group.clock() + request_class.deadline_ms,
                1.0,
                first_gateway(customer, settings.tag_key, settings.gateways),
                min(SPREAD, settings.gateways),
            ),
        )

    def stop(self, leaves: bool) -> Any:
        """Stop, with a leave message to the others or without; the result fires when the port is closed."""
        if leaves:
            self.members.leave()
        elif self.members._call is not None and self.members._call.active():
            self.members._call.cancel()
        if self._client_call is not None and self._client_call.active():
            self._client_call.cancel()
        self.request_table.batches.stopped = True
        return self.listener.stopListening()


class GatewayGroup:
    """All simulated gateways of this process, and the commands of the parent."""

    def __init__(self, parameters: dict[str, Any]) -> None:
        self.sizes = Sizes(**parameters["sizes"])
        self.numbers, self.endpoint_file, self.settings = (
            parameters["numbers"],
            parameters["roster"],
            parameters["settings"],
        )
        self.reals, self.seed, self.clock = self.sizes.reals, parameters["seed"], Clock()
        self.rng = random.Random(self.seed ^ self.numbers[0])
        self.config: Config = checked(self.settings).config
        self.version, self.digest = 1, self._digest()
        self.endpoint_list: EndpointList | None = None
        self.peers: dict[int, Address] = {}
        self.gateways: dict[int, SimulatedGateway] = {}
        self.tally, self.isolated_zone, self.rate = counting.Tally(), None, 0.0
        with_clients = set(self.sizes.neighbours) & set(self.numbers)
        self.customers = customers_of(self.config.settings, self.sizes.tenants, with_clients) if with_clients else {}
        self._file_signature: tuple[int, ...] = ()
        self.loop_monitor = EventLoopMonitor(reactor, self.clock, lambda late_ms, cause: None)
        self._reserved_sockets = {number: self._bind_socket() for number in self.numbers}
        self.ports = {number: link.getsockname()[1] for number, link in self._reserved_sockets.items()}

    @staticmethod
    def _bind_socket() -> socket.socket:
        link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        link.bind(("127.0.0.1", 0))
        return link

    def _digest(self) -> str:
        """Return the digest of the settings in force: those of the controller, and the routes."""
        config = self.config
        return hashlib.sha256(repr((config.settings, config.routes)).encode()).hexdigest()[:16]

    # ---- commands: `Commands` finds them by name, each returns one answer ------------------------

    def lives(self, command: dict[str, Any]) -> dict[str, Any]:
        """Create all gateways and load the endpoint list; return their incarnations. None sends anything yet."""
        self.peers = {int(number): Address("127.0.0.1", port) for number, port in command["ports"].items()}
        self._reload_endpoint_list()
        self.gateways = {
            number: SimulatedGateway(self, number, ("127.0.0.1", self.ports[number])) for number in self.numbers
        }
        for number, each in self.gateways.items():
            self._reserved_sockets.pop(number).close()
            each.listen()
        return {"lives": {number: each.process_incarnation for number, each in self.gateways.items()}}

    def know(self, command: dict[str, Any]) -> dict[str, Any]:
        """Give all gateways the membership in `lives`; if it is empty, they discover each other after the start."""
        incarnations = {int(number): incarnation for number, incarnation in command["lives"].items()}
        for each in self.gateways.values() if incarnations else ():
            each.learn_members(incarnations)
        # A full garbage collection over the objects of hundreds of gateways takes seconds, during which none of them
        # answers a probe. Reference counting frees what they release.
        gc.collect()
        gc.freeze()
        gc.disable()
        return {"ready": len(self.gateways)}

    def start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Start the membership of all gateways and the watch of the endpoint list."""
        for each in self.gateways.values():
            each.start_membership()
        task.LoopingCall(self._reload_endpoint_list).start(CHECK_INTERVAL_S)
        self.loop_monitor.start()
        return {"up": len(self.gateways)}

    def counts(self, command: dict[str, Any]) -> dict[str, Any]:
        """Return the datagram counts."""
        return {"counts": self.tally.plain()}

    def set(self, command: dict[str, Any]) -> dict[str, Any]:
        """Set the rate of the simulated clients, or the zone that is partitioned."""
        self.rate, self.isolated_zone = command.get("rate", self.rate), command.get("cut", self.isolated_zone)
        for each in self.gateways.values() if "rate" in command else ():
            each.restart_clients()
        return {"counts": self.tally.plain()}

    def heal(self, command: dict[str, Any]) -> dict[str, Any]:
        """End the partition."""
        self.isolated_zone = None
        return {"counts": self.tally.plain()}

    def reload(self, command: dict[str, Any]) -> dict[str, Any]:
        """Read the settings again; either all gateways apply them or none."""
        config = checked(self.settings).config
        if config is None:
            return {"fault": "settings rejected"}
        self.config, self.version = config, self.version + 1
        self.digest = self._digest()
        for number, each in self.gateways.items():
            each.request_table.change_settings(replace(config.settings, number=number, zone=zone(number)))
        return {"version": self.version}

    def restart(self, command: dict[str, Any]) -> dict[str, Any]:
        """Stop some gateways and start them again as new incarnations."""
        restarted = [number for number in command["numbers"] if number in self.gateways]
        for number in restarted:
            self.gateways[number].stop(command["leaves"]).addCallback(self._start_incarnation, number)
        return {"restarted": restarted}

    def _start_incarnation(self, _: object, number: int) -> None:
        self.gateways[number] = SimulatedGateway(self, number, self.gateways[number].address)
        self.gateways[number].start()

    def known(self, command: dict[str, Any]) -> dict[str, Any]:
        """Report the membership, endpoints and settings of all gateways of this process."""
        alive = Counter(len(each.members.membership.alive()) for each in self.gateways.values())
        ready_workers = Counter(
            sum(state.value == "ready" for state in each.request_table.endpoint_statuses.values())
            for each in self.gateways.values()
        )
        with open(f"/proc/{os.getpid()}/statm") as file:
            resident = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        return {
            "alive": alive,
            "workers": ready_workers,
            "version": self.version,
            "digest": self.digest,
            "rss_mb": resident / 1e6,
            "late": self.loop_monitor.lag.report(),
            "accepted": sum(each.request_table.counts["accepted"] for each in self.gateways.values()),
            "served": sum(each.request_table.counts["served"] for each in self.gateways.values()),
            "out": sum(each.members.membership.counts["out"] for each in self.gateways.values()),
        }

    # ---- endpoint list ---------------------------------------------------------------------------

    def _reload_endpoint_list(self) -> None:
        """Read the endpoint list if its file has changed, once for all gateways of this process."""
        status = os.stat(self.endpoint_file)
        signature = (status.st_mtime_ns, status.st_size, status.st_ino)
        if signature == self._file_signature:
            return
        self._file_signature = signature
        with open(self.endpoint_file, "rb") as file:
            self.endpoint_list = endpoint_file.parse(file.read())
        # Updating all gateways in one turn of the event loop would take seconds, in which none answers a probe.
        for each in self.gateways.values():
            reactor.callLater(0, each.request_table.update_endpoints, self.endpoint_list)


class Commands(LineOnlyReceiver):
    """Commands of the parent process; the end of the pipe stops this process."""

    delimiter = b"\n"
    MAX_LENGTH = 1 << 22

    def __init__(self, group: GatewayGroup) -> None:
        self._group = group

    def lineReceived(self, line: bytes) -> None:
        """Execute one command and answer it."""
        command = json.loads(line)
        method: Callable[[dict[str, Any]], dict[str, Any]] = getattr(self._group, command["do"])
        self.transport.write(json.dumps(method(command)).encode() + b"\n")

    def connectionLost(self, reason: Any = None) -> None:
        """Stop the reactor."""
        if reactor.running:
            reactor.stop()


def main() -> None:
    """Bind the sockets, report their ports, and execute commands until the parent closes the pipe."""
    group = GatewayGroup(child.task())
    child.send_to_parent({"ports": group.ports})
    stdio.StandardIO(Commands(group), reactor=reactor)
    reactor.run()


if __name__ == "__main__":
    main()
