"""One gatekeeper: the ledger with its fronts, carriers, peers and roster, put together and taken apart in order.

It decides nothing: what is refused while it drains is said by the fronts, all else by the module.
"""

from __future__ import annotations

import os
import secrets
import socket
import traceback
from collections import Counter
from collections.abc import Callable, Generator
from typing import Any

import structlog
from twisted.internet import defer, task

from anisefront.cluster import endpoint_file, membership_messages, replication_codec
from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.config.types import Config
from anisefront.daemon import memory, reload
from anisefront.daemon.clock import Clock
from anisefront.daemon.collector import Collector
from anisefront.daemon.membership_service import MembershipService
from anisefront.daemon.peers import PeerPort
from anisefront.daemon.pulse import Pulse
from anisefront.daemon.recorder import Recorder
from anisefront.daemon.reloader import Phase, Reloader
from anisefront.daemon.replication import ReplicationService
from anisefront.daemon.source import Source
from anisefront.frontends import accesslog, authorization
from anisefront.frontends.grpcserver import GrpcFactory, ServerLimits
from anisefront.frontends.health import Health, Serving
from anisefront.frontends.jsonrpc import Desk, JsonRpcFactory
from anisefront.gateway.ledger import Ledger
from anisefront.gateway.routing import Router, first_gateway
from anisefront.gateway.versions import Version, next_steps
from anisefront.policy.controller import Controller
from anisefront.policy.customer_account import CustomerAccount
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import EndpointList
from anisefront.policy.settings import Plan, RequestClass, Settings
from anisefront.upstream import proxied
from anisefront.upstream.own import Own
from anisefront.upstream.pool import Pool

_SHARED = (
    Settings,
    Plan,
    RequestClass,
    Controller,
    Ledger,
    proxied.Proxied,
    Own,
    Pool,
    CustomerAccount,
    EndpointState,
    GrpcFactory,
    JsonRpcFactory,
    EndpointList,
)  # things that many refer to: none of them is any one's own
MEASURE_MS = 1000.0
PEER_BUFFER = 4 << 20  # bytes of datagrams that the system may hold for us; it may allow less
LATE_LOG_MS = 100.0  # a loop so late is a client's matter; less is counted only
BACKLOG = 1024  # connections that the system lets in before we do
LAST_LOOKS = 3  # turns of the loop at the drain's end in which what had come is read
ROSTER_S = 0.1  # how often the roster file is looked at
MEMBERS_MARK, KEEPING_MARK = bytes((membership_messages.MARK,)), bytes((replication_codec.MARK,))
SERVICES = ("envoy.service.auth.v3.Authorization", "envoy.service.accesslog.v3.AccessLogService")


MOST_NAMED = 5  # of what a change added, changed or removed, in its line of the log


def _few(names: tuple[str, ...]) -> list[str]:
    """The first of some names, and how many more there are."""
    more = len(names) - MOST_NAMED
    return [*names[:MOST_NAMED], *([f"and {more} more"] if more > 0 else [])]


class Gatekeeper:
    """Made, started, drained and stopped once. `clock` gives Unix milliseconds that only move forward.

    `version` is in force from the start, `source` is where others come from; without it they never change."""

    def __init__(
        self,
        version: Version,
        reactor: Any,
        clock: Callable[[], float] | None = None,
        on_fault: Callable[[Exception], None] | None = None,
        source: Source | None = None,
    ) -> None:
        # Danger: settings that were read from two places could be of two versions within one request. All that judges
        # requests reads them from here, and here they change by one assignment.
        self.version, self.reactor, self.clock = version, reactor, clock or Clock()
        config = version.config
        self.log = structlog.get_logger().bind(gatekeeper=config.settings.number)
        self.life = secrets.token_hex(6)
        self.started_ms = self.clock()
        seed = config.seed if config.seed is not None else secrets.randbits(48)
        settings = config.settings
        self.peer_port = self.members = None
        if config.peers_listen is not None:
            seal = self.seal = DatagramAuthenticator(config.secret, settings.number, int(self.started_ms))
            self.peer_port = PeerPort(seal, config.peers, self._hear)
            if config.members_ms:
                self.members = MembershipService(
                    reactor,
                    self.clock,
                    self.peer_port.tell,
                    self.log,
                    settings.number,
                    int(self.started_ms),
                    config.peers,
                    seed,
                    config.members_ms,
                )
        self.ledger = Ledger(
            Controller(settings, seed),
            self.clock,
            reactor,
            self.peer_port.tell if self.peer_port else lambda receiver, data: None,
            most_open=config.most_open,
            on_fault=on_fault,
            on_raise=lambda problem: self.log.error("action_raised", exc_info=problem),
        )
        limits = proxied.Limits(config.log_ms, config.ask_again_ms, park_ms=config.park_ms)
        if self.members is not None:
            self.members.on_unavailable = self.ledger.away
        self.proxied = proxied.Proxied(self.ledger, reactor, self.life, limits)
        self.pool = Pool(reactor)
        self.own = Own(self.ledger, self.pool, self.life, settings.load_report_fields)
        self.gate = authorization.Gate(self.router, self.proxied, self.clock, self.gateways_of)
        self.desk = Desk(self.router, self.own, self.clock, self.gateways_of, self.state)
        self.health = Health(SERVICES)
        self.grpc = GrpcFactory(
            reactor,
            {
                authorization.PATH: self.gate.method(),
                accesslog.PATH: accesslog.method(self.proxied, settings.load_report_fields),
                **self.health.methods(),
            },
            ServerLimits(config.most_connections),
        )
        self.keepers = None
        if self.members is not None and config.lease_ms:
            self.keepers = ReplicationService(
                reactor,
                self.clock,
                self.peer_port.tell,
                self.log,
                config,
                int(self.started_ms),
                self.members.membership,
            )
            self.keepers.attach(self.ledger, self.own, self.proxied)
            self.members.on_changes = self.keepers.on_member_changes
        self.ledger.before_turn.append(self.grpc.gather)
        self.ledger.after_turn.append(self.grpc.flush)
        self.jsonrpc = JsonRpcFactory(reactor, self.desk, config.most_connections)
        self.recorder = None
        if config.recording is not None:
            self.recorder = Recorder(config.recording, settings.number, self.life, self.started_ms)
            self.ledger.observer = self.recorder.see
            self._record_loop = task.LoopingCall(self.recorder.flush)
            self._record_loop.clock = reactor
        self.pulse = Pulse(reactor, self.clock, self._loop_late)
        self.collector = Collector(reactor, lambda: self.ledger.open)
        controller, self._measured = self.ledger.controller, (0.0, {})
        self._purposes = (
            memory.Purpose(
                "accounts", lambda: controller.quota_borrower.accounts, lambda: self.config.settings.max_customers
            ),
            memory.Purpose(
                "stores", lambda: controller.quota_owner.buckets, lambda: self.config.settings.max_customers
            ),
            memory.Purpose("requests", lambda: self.ledger.entries, lambda: self.config.most_open),
            memory.Purpose("attempts", lambda: controller.attempts.in_flight),
            memory.Purpose("exchanges", lambda: self.proxied.exchanges, lambda: self.config.most_open),
            memory.Purpose("agenda", lambda: controller.timers.pending),
            memory.Purpose(
                "peers", lambda: self.seal.peers if self.peer_port else {}, lambda: self.config.settings.gateways
            ),
            memory.Purpose("workers", lambda: controller.endpoints.known),
            memory.Purpose(
                "connections",
                lambda: [*self.grpc.connections, *self.jsonrpc.connections],
                lambda: 2 * self.config.most_connections,
            ),
        )
        self._ports: list[Any] = []
        self._roster_mark: tuple[int, ...] | None = None
        self._roster_loop = task.LoopingCall(self.look_at_roster)
        self._roster_loop.clock = reactor
        self.roster_fault = self.settings_fault = ""
        self.settings_ms, self.settings_counts = self.started_ms, Counter[str]()  # in force since; what became of each
        self._source = source
        self.reloader = Reloader(reactor, self._change, lambda: self.ledger.waiting > 0, self.log, self._change_raised)
        self._drained: defer.Deferred[None] | None = None

    @property
    def config(self) -> Config:
        """The settings in force."""
        return self.version.config

    def router(self) -> Router:
        """The look-ups in force."""
        return self.version.router

    def gateways_of(self, customer: str) -> tuple[int, int]:
        """The first gateway of a customer's set and how many there are; the same at every gatekeeper."""
        settings = self.config.settings
        return first_gateway(customer, settings.tag_key, settings.gateways), self.config.spread

    def start(self) -> dict[str, Any]:
        """Listen, and say where. `OSError` where a port can't be had."""
        config, where = self.config, {}
        self.pulse.start()
        if self.recorder is not None:
            self._record_loop.start(1.0, now=False)
        if config.roster_file:
            self._watch_roster()
        for name, address, factory in (("grpc", config.grpc, self.grpc), ("jsonrpc", config.jsonrpc, self.jsonrpc)):
            if address is not None:
                port = self.reactor.listenTCP(address.port, factory, backlog=BACKLOG, interface=address.host)
                self._ports.append(port)
                where[name] = f"{address.host}:{port.getHost().port}"
        if self.peer_port is not None:
            address = config.peers_listen
            port = self.reactor.listenUDP(address.port, self.peer_port, interface=address.host, maxPacketSize=2048)
            # Danger: of one that dies with thousands in hand the others tell each other thousands of things at once.
            port.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PEER_BUFFER)
            where["peers"] = f"{address.host}:{port.getHost().port}"
            self._peer_listener = port
        if self.members is not None:
            self.members.start()
        self.log.info("started", **where, life=self.life, servers=len(self.ledger.servers))
        return where

    def _hear(self, sender: int, data: bytes) -> None:
        """Bytes of a peer: for whoever they are."""
        if data[:1] == MEMBERS_MARK:
            if self.members is not None:
                self.members.receive(sender, self.seal.peers[sender].process_incarnation, data)
        elif data[:1] == KEEPING_MARK:
            if self.keepers is not None:
                self.keepers.receive(sender, self.seal.peers[sender].process_incarnation, data)
        else:
            self.ledger.hear(sender, data)

    def _loop_late(self, late_ms: float, cause: str) -> None:
        if late_ms >= LATE_LOG_MS:
            self.log.warning("loop_late", late_ms=round(late_ms), cause=cause)

    # ---- settings ------------------------------------------------------------------------------

    def reload(self) -> None:
        """Read the settings anew, in slices, and take them all at once between two turns, or none of them."""
        if self._source is not None:
            self.reloader.hang_up()

    def _change(self) -> Generator[None, None, None]:
        """One change from the files to its end: in force, or refused whole."""
        outcome = yield from self._source.steps()
        faults = list(outcome.errors) or reload.fixed(self.config, outcome.config)
        if faults:
            self._settings_told("refused", faults[0])
            self.log.error(
                "settings_not_taken",
                faults=faults[:20],
                more=max(0, len(faults) - 20),
                version=self.version.number,
                digest=self.version.digest,
            )
        elif outcome.digest == self.version.digest:
            self._settings_told("same", "")
            self.log.info("settings_same", version=self.version.number, digest=self.version.digest)
        else:
            version = yield from next_steps(self.version, outcome)
            self._put_in_force(version, len(outcome.texts))

    def _put_in_force(self, version: Version, warnings: int) -> None:
        """Between two turns. A request that was taken in before ends by what it was given then:

        class and plan    the module keeps its own of each request, and the ledger the order: what arrived before the
                          change is handed to the module before it
        deadline          is a moment, worked out when it arrived
        pool              can't change while running
        keeping           what became of it is told by the class that it came with
        times of the path those that begin after the change are by the new version, since proxies are in step with none
        """
        before, config = self.config, version.config
        limits = proxied.Limits(config.log_ms, config.ask_again_ms, park_ms=config.park_ms)
        self.version = version
        self.ledger.most_open, self.proxied.limits = config.most_open, limits
        # The module looks at each customer that it is the home of; routes and keys are not its matter.
        if config.settings != before.settings:
            self.ledger.change(config.settings)
        if self.keepers is not None:
            self.keepers.update_config(config)
        self.settings_ms = self.clock()
        self._settings_told("taken", "")
        self.reactor.callLater(0, self.collector.settle)
        changes = version.changes
        self.log.info(
            "settings",
            version=version.number,
            digest=version.digest,
            routes=len(config.routes),
            keys=len(config.keys),
            warnings=warnings,
            others=changes.others,
            **{
                f"{what}_{how}": _few(getattr(getattr(changes, what), how))
                for what in ("routes", "keys", "plans", "classes")
                for how in ("added", "changed", "removed")
                if getattr(getattr(changes, what), how)
            },
        )

    def _change_raised(self, problem: Exception) -> None:
        self._settings_told("raised", f"unforeseen, please report it: {type(problem).__name__}: {problem}"[:500])
        # Danger: the values of a traceback's variables are settings, and among them secrets; so only its lines.
        self.log.error(
            "reload_raised", fault=self.settings_fault, trace="".join(traceback.format_exception(problem))[-2000:]
        )

    def _settings_told(self, what: str, fault: str) -> None:
        self.settings_counts[what] += 1
        self.settings_fault = fault

    # ---- roster --------------------------------------------------------------------------------

    def _watch_roster(self) -> None:
        self._roster_loop.start(ROSTER_S, now=True).addErrback(self._roster_raised)

    def _roster_raised(self, failure: Any) -> None:
        # Danger: a loop that ends with an exception would leave an old list in force for good, unseen.
        self.roster_fault = failure.getErrorMessage()
        self.log.error("roster_raised", fault=self.roster_fault, trace=failure.getTraceback()[-2000:])
        self.reactor.callLater(1.0, self._watch_roster)

    def look_at_roster(self) -> None:
        """Read the roster file where it has changed; one that can't be taken changes nothing."""
        path = self.config.roster_file
        try:
            found = os.stat(path)
            mark = (found.st_mtime_ns, found.st_size, found.st_ino)
            if mark == self._roster_mark:
                return
            with open(path, "rb") as file:
                text = file.read(endpoint_file.MAX_FILE_BYTES + 1)
            fleet = endpoint_file.parse(text)
        except (OSError, endpoint_file.EndpointFileError) as problem:
            if str(problem) != self.roster_fault:
                self.roster_fault = str(problem)
                self.log.warning("roster_not_taken", file=path, fault=self.roster_fault)
            return
        self._roster_mark, self.roster_fault = mark, ""
        self.log.info("roster", servers=len(fleet.endpoints))
        self.ledger.roster(fleet)

    # ---- state ---------------------------------------------------------------------------------

    def state(self) -> dict[str, Any]:
        """What this gatekeeper is and does, in plain values."""
        ledger, window = self.ledger, self.ledger.controller.concurrency_limit
        return {
            "gatekeeper": self.config.settings.number,
            "of": self.config.settings.gateways,
            "life": self.life,
            "state": "draining" if self.gate.closing else "serving",
            "up_ms": round(self.clock() - self.started_ms),
            "open": ledger.open,
            "held": len(ledger.controller.admission.queue),
            "attempts_out": window.in_flight,
            "window": round(window.limit, 2),
            "loop_late_ms": round(ledger.turns_late_ms, 1),
            "loop": self.pulse.lag.report(),
            "turn": ledger.turn_ms.report(),
            "pauses": self.collector.pauses.report(),
            "memory": self._memory(),
            "servers": {
                state.value: sum(each is state for each in ledger.servers.values())
                for state in set(ledger.servers.values())
            },
            "roster_fault": self.roster_fault,
            "settings": {
                "version": self.version.number,
                "digest": self.version.digest,
                "since_ms": round(self.clock() - self.settings_ms),
                "fault": self.settings_fault,
                "reading": self.reloader.phase in (Phase.READING, Phase.DUE),
                "readings": dict(self.settings_counts),
                "work_ms": round(self.reloader.work_ms, 1),
                "slices": self.reloader.slices.report()["late"],
                "longest_slice_ms": round(self.reloader.slices.worst_ms, 2),
            },
            "recording": {}
            if self.recorder is None
            else {"written": self.recorder.written, "dropped": self.recorder.dropped, "fault": self.recorder.fault},
            "connections": {"grpc": len(self.grpc.connections), "jsonrpc": len(self.jsonrpc.connections)},
            "counts": dict(ledger.counts),
            "proxied": dict(self.proxied.counts),
            "grpc": dict(self.grpc.counts),
            "jsonrpc": dict(self.jsonrpc.counts),
            "peers": dict(self.seal.counts) if self.peer_port else {},
            "members": self.members.state() if self.members is not None else {},
            "keepers": self.keepers.state() if self.keepers is not None else {},
        }

    def _memory(self) -> dict[str, dict[str, int]]:
        """By purpose; made anew once a second at most, since anybody may ask for the state as often as he likes."""
        if self.clock() - self._measured[0] >= MEASURE_MS:
            self._measured = self.clock(), memory.report(self._purposes, _SHARED)
        return self._measured[1]

    # ---- the end -------------------------------------------------------------------------------

    def drain(self) -> defer.Deferred[None]:
        """Refuse what is new, finish what was begun; fires when all is answered or the time is up."""
        if self._drained is None:
            self._drained = defer.Deferred()
            self.gate.closing = self.desk.closing = True
            self.health.set_all(Serving.NOT_SERVING)
            self.reloader.stop()
            self._drain_end = self.clock() + self.config.drain_ms
            self.log.info("draining", open=self.ledger.open)
            self._wait_for_end()
        return self._drained

    def hurry(self) -> None:
        """End the drain now."""
        self._drain_end = self.clock()

    def _wait_for_end(self) -> None:
        if self.ledger.entries and self.clock() < self._drain_end:
            self.reactor.callLater(0.02, self._wait_for_end)
            return
        self._stop_listening()
        self._look_once_more(LAST_LOOKS)

    def _stop_listening(self) -> None:
        """Danger: who was let in by the system and not by us is reset with the listener; so they come in first, all:
        of itself one look takes no more in than the look before."""
        for port in self._ports:
            port.numberAccepts = BACKLOG
            port.doRead()
            port.stopListening()

    def _look_once_more(self, looks: int) -> None:
        """Danger: what clients had sent before we end lies unread in our sockets: without an answer they would see a
        reset and not know whether it ran. Each of these turns reads it, and it is refused."""
        if looks:
            self.reactor.callLater(0.01, self._look_once_more, looks - 1)
        else:
            self._leave()

    def _leave(self) -> None:
        """The end of the drain: all is answered or handed over, and others are told that we go."""
        self.log.info("drained", left_open=self.ledger.open)
        if self.keepers is not None:
            self.keepers.stop()
        else:  # nobody else carries on with what is open
            self.ledger.fail_open()
        if self.members is not None:
            self.members.leave()
        if self.recorder is not None:
            self.recorder.flush()
        self.grpc.leave()
        self.reactor.callLater(0.05, self._drained.callback, None)  # the last answers are being written
