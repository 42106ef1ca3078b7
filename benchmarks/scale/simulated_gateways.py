"""Many hollow gatekeepers in one process: what a gatekeeper holds and says without clients, by the program's own code.

Each has a socket of its own, the seal, the membership and the ledger with the decision module, as
`daemon/gateway_instance.py` puts them together: so it has the fleet list and the settings in force, answers probes, is
home of quotas and asks homes. No fronts, no routes, no keys: these serve clients only. Those that share sets of
customers with real gatekeepers take requests in as the fronts would, and their attempts end well after a while.
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
from anisefront.gateway.request_terms import RequestTerms
from anisefront.config.types import Address, Config
from anisefront.gateway.request_table import RequestTable
from anisefront.gateway.routing import first_gateway
from anisefront.gateway.routing import LISTED_PREFIX
from anisefront.daemon.clock import Clock
from anisefront.daemon.authenticated_datagrams import AuthenticatedDatagrams
from anisefront.daemon.endpoint_file import CHECK_INTERVAL_S
from anisefront.daemon.gateway_instance import MEMBERSHIP_MARK, REPLICATION_MARK
from anisefront.daemon.membership_service import MembershipService
from anisefront.daemon.peer_port import PeerPort
from anisefront.daemon.event_loop_monitor import EventLoopMonitor
from anisefront.cluster import endpoint_file, membership_messages
from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.cluster.member_state import MAX_ROWS, MemberRow, MemberStatus, encode_rows
from anisefront.policy.controller import Controller
from benchmarks.scale import child, counting
from benchmarks.scale.files import SPREAD, Sizes, customers_of, zone
from benchmarks.scale.datagram_relay import crosses
from anisefront.policy.actions import RejectionReason
from anisefront.policy.events import AttemptResult, EndpointList

WORK_S = 0.02  # of an attempt
BUFFER = 1 << 20
_ROWS = membership_messages._HEADER.pack(membership_messages.MAGIC_BYTE, membership_messages.MessageKind.ROWS, 0, 0)


class Silent:
    """A log that nobody reads."""

    def info(self, *_: object, **__: object) -> None:
        """Nothing."""


class Port(PeerPort):
    """The peer port, with what arrives from real gatekeepers counted before the seal is looked at."""

    def __init__(self, house: House, number: int, *rest: Any) -> None:
        super().__init__(*rest)
        self._house, self._number = house, number

    def datagramReceived(self, datagram: bytes, address: object) -> None:
        sender, _ = counting.ends(datagram)
        if crosses(self._house.cut, sender, self._number):
            return
        if sender < self._house.reals:
            self._house.tally.take(sender, "out", datagram)
        super().datagramReceived(datagram, address)


class Attempts:
    """Carries attempts out by letting them end well after a while."""

    def __init__(self, request_table: RequestTable) -> None:
        self._request_table = request_table

    def start_attempt(self, request: int, number: int, worker: str, timeout_ms: float) -> None:
        reactor.callLater(WORK_S, self._request_table.attempt_ended, request, number, AttemptResult.OK)

    def cancel_attempt(self, request: int, attempt: int) -> None:
        """It ends by itself."""

    def reject(self, request: int, retry_after_ms: float, reason: RejectionReason) -> None:
        """Nobody waits for the answer."""

    def fail(self, request: int) -> None:
        """Nobody waits for the answer."""


class Hollow:
    """One life of one hollow gatekeeper."""

    def __init__(self, house: House, number: int, address: tuple[str, int]) -> None:
        config, clock = house.config, house.clock
        self.house, self.number, self.address, self.life = house, number, address, int(clock())
        settings = replace(config.settings, number=number, zone=zone(number))
        self.seal = DatagramAuthenticator(config.secret, number, self.life)
        self.port = Port(house, number, AuthenticatedDatagrams(self.seal, house.peers), self._hear)
        self.members = MembershipService(
            reactor,
            clock,
            self.port.send,
            Silent(),
            number,
            self.life,
            house.peers,
            house.seed ^ number,
            config.members_ms,
        )
        self.request_table = RequestTable(Controller(settings, house.seed ^ number), clock, reactor, self.port.send)
        self.members.on_unavailable = self.request_table.set_unreachable_peers
        self.carrier, self._call = Attempts(self.request_table), None

    def start(self) -> None:
        self.listen()
        self.begin()

    def listen(self) -> None:
        """Open its port and take the list in."""
        host, port = self.address
        self.listener = reactor.listenUDP(port, self.port, interface=host, maxPacketSize=2048)
        self.listener.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        self.request_table.update_endpoints(self.house.fleet)
        self.request_table.batches.run_scheduled()

    def begin(self) -> None:
        """Say that it is there."""
        self.members.start()
        self.clients()

    def _hear(self, sender: int, data: bytes) -> None:
        """As `GatewayInstance._on_peer_message`."""
        if data[:1] == MEMBERSHIP_MARK:
            self.members.receive(sender, self.seal.peers[sender].process_incarnation, data)
        elif data[:1] != REPLICATION_MARK:
            self.request_table.receive_peer_message(sender, data)

    def know(self, lives: dict[int, int]) -> None:
        """Hear of all others at once, as one that has been there for long; what all know is no news any more."""
        rows = [
            MemberRow(number, life, 0, MemberStatus.ALIVE) for number, life in lives.items() if number != self.number
        ]
        known = self.members.membership
        for at in range(0, len(rows), MAX_ROWS):
            known.handle(
                self.house.clock(),
                [(rows[0].number, rows[0].process_incarnation, _ROWS + encode_rows(rows[at : at + MAX_ROWS]))],
            )
        known._dissemination.clear()
        known.changes.clear()

    def clients(self) -> None:
        """Its clients begin, at the rate that is told, or end."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        if self.number in self.house.customers and self.house.rate > 0:
            self._call = reactor.callLater(self.house.chance.expovariate(self.house.rate), self._next)

    def _next(self) -> None:
        """The next request of a client, open loop."""
        house = self.house
        self._call = reactor.callLater(house.chance.expovariate(house.rate), self._next)
        customer = LISTED_PREFIX + house.chance.choice(house.customers[self.number])
        settings = house.config.settings
        kind = settings.classes[0]
        self.request_table.accept(
            self.carrier,
            RequestTerms(
                customer,
                kind.name,
                settings.plans[0].name,
                house.clock() + kind.deadline_ms,
                1.0,
                first_gateway(customer, settings.tag_key, settings.gateways),
                min(SPREAD, settings.gateways),
            ),
        )

    def end(self, leaves: bool) -> Any:
        """Its end, said to others or not; fires when its port is free."""
        if leaves:
            self.members.leave()
        elif self.members._call is not None and self.members._call.active():
            self.members._call.cancel()
        if self._call is not None and self._call.active():
            self._call.cancel()
        self.request_table.batches.stopped = True
        return self.listener.stopListening()


class House:
    """All hollow gatekeepers of this process."""

    def __init__(self, given: dict[str, Any]) -> None:
        self.sizes = Sizes(**given["sizes"])
        self.numbers, self.roster, self.settings = given["numbers"], given["roster"], given["settings"]
        self.reals, self.seed, self.clock = self.sizes.reals, given["seed"], Clock()
        self.chance = random.Random(self.seed ^ self.numbers[0])
        self.config: Config = checked(self.settings).config
        self.version, self.digest = 1, self._digest()
        self.fleet: EndpointList | None = None
        self.peers: dict[int, Address] = {}
        self.hollow: dict[int, Hollow] = {}
        self.tally, self.cut, self.rate = counting.Tally(), None, 0.0
        near = set(self.sizes.busy) & set(self.numbers)
        self.customers = customers_of(self.config.settings, self.sizes.tenants, near) if near else {}
        self._mark: tuple[int, ...] = ()
        self.pulse = EventLoopMonitor(reactor, self.clock, lambda late_ms, cause: None)
        self._spare = {number: self._bound() for number in self.numbers}
        self._ports = {number: link.getsockname()[1] for number, link in self._spare.items()}

    @staticmethod
    def _bound() -> socket.socket:
        link = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        link.bind(("127.0.0.1", 0))
        return link

    def _digest(self) -> str:
        """Of the settings in force: what the module has, and the routes."""
        config = self.config
        return hashlib.sha256(repr((config.settings, config.routes)).encode()).hexdigest()[:16]

    # ---- commands, each with one answer --------------------------------------------------------

    def lives(self, told: dict[str, Any]) -> dict[str, Any]:
        """Make all, with the list in hand; their lives. None says anything yet."""
        self.peers = {int(number): Address("127.0.0.1", port) for number, port in told["ports"].items()}
        self._look()
        self.hollow = {number: Hollow(self, number, ("127.0.0.1", self._ports[number])) for number in self.numbers}
        for number, each in self.hollow.items():
            self._spare.pop(number).close()
            each.listen()
        return {"lives": {number: each.life for number, each in self.hollow.items()}}

    def know(self, told: dict[str, Any]) -> dict[str, Any]:
        """`lives`: all that have been there for long; empty: they find each other. All that takes long is over then."""
        lives = {int(number): life for number, life in told["lives"].items()}
        for each in self.hollow.values() if lives else ():
            each.know(lives)
        # Danger: a full collection over all that hundreds hold takes seconds, in which none of them answers. What they
        # let go of goes by its counts of references.
        gc.collect()
        gc.freeze()
        gc.disable()
        return {"ready": len(self.hollow)}

    def start(self, told: dict[str, Any]) -> dict[str, Any]:
        """All begin to say that they are there."""
        for each in self.hollow.values():
            each.begin()
        task.LoopingCall(self._look).start(CHECK_INTERVAL_S)
        self.pulse.start()
        return {"up": len(self.hollow)}

    def counts(self, told: dict[str, Any]) -> dict[str, Any]:
        return {"counts": self.tally.plain()}

    def set(self, told: dict[str, Any]) -> dict[str, Any]:
        """The rate of those that have clients; a zone that is cut off."""
        self.rate, self.cut = told.get("rate", self.rate), told.get("cut", self.cut)
        for each in self.hollow.values() if "rate" in told else ():
            each.clients()
        return {"counts": self.tally.plain()}

    def heal(self, told: dict[str, Any]) -> dict[str, Any]:
        self.cut = None
        return {"counts": self.tally.plain()}

    def reload(self, told: dict[str, Any]) -> dict[str, Any]:
        """Read the settings again; all take them or none."""
        config = checked(self.settings).config
        if config is None:
            return {"fault": "not taken"}
        self.config, self.version = config, self.version + 1
        self.digest = self._digest()
        for number, each in self.hollow.items():
            each.request_table.change_settings(replace(config.settings, number=number, zone=zone(number)))
        return {"version": self.version}

    def restart(self, told: dict[str, Any]) -> dict[str, Any]:
        """Some end and come again in new lives."""
        here = [number for number in told["numbers"] if number in self.hollow]
        for number in here:
            self.hollow[number].end(told["leaves"]).addCallback(self._again, number)
        return {"restarted": here}

    def _again(self, _: object, number: int) -> None:
        self.hollow[number] = Hollow(self, number, self.hollow[number].address)
        self.hollow[number].start()

    def known(self, told: dict[str, Any]) -> dict[str, Any]:
        """Who knows of whom, and what is in force, over all here."""
        alive = Counter(len(each.members.membership.alive()) for each in self.hollow.values())
        held = Counter(
            sum(state.value == "ready" for state in each.request_table.endpoint_statuses.values())
            for each in self.hollow.values()
        )
        with open(f"/proc/{os.getpid()}/statm") as file:
            resident = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        return {
            "alive": alive,
            "workers": held,
            "version": self.version,
            "digest": self.digest,
            "rss_mb": resident / 1e6,
            "late": self.pulse.lag.report(),
            "accepted": sum(each.request_table.counts["accepted"] for each in self.hollow.values()),
            "served": sum(each.request_table.counts["served"] for each in self.hollow.values()),
            "out": sum(each.members.membership.counts["out"] for each in self.hollow.values()),
        }

    # ---- the list ------------------------------------------------------------------------------

    def _look(self) -> None:
        """Read the list where it has changed: once for all here."""
        found = os.stat(self.roster)
        mark = (found.st_mtime_ns, found.st_size, found.st_ino)
        if mark == self._mark:
            return
        self._mark = mark
        with open(self.roster, "rb") as file:
            self.fleet = endpoint_file.parse(file.read())
        # Danger: a whole list at all of them in one turn of the loop is seconds, in which none answers a probe.
        for each in self.hollow.values():
            reactor.callLater(0, each.request_table.update_endpoints, self.fleet)


class Commands(LineOnlyReceiver):
    """Lines of the supervisor; when it is gone, so are we."""

    delimiter, MAX_LENGTH = b"\n", 1 << 22

    def __init__(self, house: House) -> None:
        self._house = house

    def lineReceived(self, line: bytes) -> None:
        told = json.loads(line)
        do: Callable[[dict[str, Any]], dict[str, Any]] = getattr(self._house, told["do"])
        self.transport.write(json.dumps(do(told)).encode() + b"\n")

    def connectionLost(self, reason: Any = None) -> None:
        if reactor.running:
            reactor.stop()


def main() -> None:
    house = House(child.task())
    child.say({"ports": house._ports})
    stdio.StandardIO(Commands(house), reactor=reactor)
    reactor.run()


if __name__ == "__main__":
    main()
