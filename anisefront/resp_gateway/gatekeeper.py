"""One gatekeeper of the platform: the ledger with its front, carrier, peers and discovery, put together.

It decides nothing: what is refused for want of room is said by the front, all else by the module.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet import defer

from anisefront.daemon import reload
from anisefront.daemon.clock import Clock
from anisefront.daemon.collector import Collector
from anisefront.gateway.ledger import Ledger
from anisefront.policy.controller import Controller
from anisefront.resp_gateway.command_mapping import CommandMapper
from anisefront.resp_gateway.connection_limits import ConnectionLimits
from anisefront.resp_gateway.discovery_watch import DiscoveryWatch
from anisefront.resp_gateway.endpoint_changes import EndpointChange, EndpointDirectory
from anisefront.resp_gateway.errors import InstanceConfigError
from anisefront.resp_gateway.instance_config import InstanceConfig
from anisefront.resp_gateway.peers import PeerPort
from anisefront.resp_gateway.resp_frontend import RespFrontend
from anisefront.resp_gateway.resp_requests import RespRequests, WorkerConnectionCodec
from anisefront.upstream.pool import Pool, PoolLimits

OTHER_SOCKETS = 24  # standard streams, event loop, listener, datagrams, discovery old and new, and some to spare
CLIENT_PART = 0.5  # of the descriptors; the rest is for workers
REST_S = 0.01  # after an answer, before its connection is used again
STALL_S = 0.4  # an answer that has begun goes on within this time
IDLE_PART = 0.6  # of the time after which the machine closes an idle connection
CLOSING_PART = 1 / 8  # of the clients' connections, beside the others: closing
BACKLOG = 1024  # connections that the system lets in before we look
LISTEN_ON_MS = 500.0  # after SIGTERM new connections still come for a while
# After SIGTERM the platform kills no sooner than the longest deadline, counted so long at most, and so much more.
MOST_DEADLINE_MS, KILL_MS = 3000.0, 700.0
WRITE_MS, LEAVE_MS = 300.0, 100.0  # before the kill all is answered; and we are gone
REPORT_S, COLLECT_S = 10.0, 2.0


class NodeGatekeeper:
    """Made, started, drained and stopped once."""

    def __init__(
        self,
        config: InstanceConfig,
        reactor: Any,
        clock: Callable[[], float] | None = None,
        on_fault: Callable[[Exception], None] | None = None,
    ) -> None:
        self.config, self.reactor, self.clock = config, reactor, clock or Clock()
        self.log = structlog.get_logger().bind(gatekeeper=config.name)
        settings = config.settings
        self.peer_port = None
        if config.peer_listen is not None and settings.peer_messages_enabled:
            self.peer_port = PeerPort(
                settings.number, config.peers, lambda sender, data: self.ledger.hear(sender, data)
            )
        self.ledger = Ledger(
            Controller(settings, config.seed),
            self.clock,
            reactor,
            self.peer_port.tell if self.peer_port else lambda receiver, data: None,
            most_open=max(64, int(config.memory_mb * 16)),
            on_fault=on_fault,
            on_raise=lambda problem: self.log.error("action_raised", exc_info=problem),
        )
        self.book = EndpointDirectory()
        most = max(32, config.sockets - OTHER_SOCKETS)
        clients = int(most * CLIENT_PART)
        closing = max(8, int(clients * CLOSING_PART))
        self.pool = Pool(
            reactor,
            PoolLimits(
                connect_s=config.connect_timeout_ms / 1000,
                idle_s=config.idle_ms * IDLE_PART / 1000,
                idle_each=64,
                most=most - clients,
                rest_s=REST_S,
                stall_s=STALL_S,
            ),
            WorkerConnectionCodec,
            self.book.address_of,
        )
        self.carrier = RespRequests(self.ledger, self.pool, settings.load_report_fields)
        self.front = RespFrontend(
            reactor,
            self.carrier,
            CommandMapper(settings),
            self.clock,
            ConnectionLimits(clients - closing, closing, config.sockets // 8, int(config.memory_mb * (1 << 20) / 8)),
        )
        self.watch = DiscoveryWatch(
            reactor,
            config.discovery,
            lambda: self.book.version,
            self.told,
            self._discovery_fault,
            self.book.reset_version,
        )
        self.collector = Collector(reactor, lambda: self.ledger.open, every_s=COLLECT_S)
        self._port: Any = None
        self._drained: defer.Deferred[None] | None = None

    def prepare(self) -> None:
        """All the work of starting that needs no port, before `start`."""
        config = self.config
        if config.known_endpoints is not None:
            self.told(config.known_endpoints)  # it may be old, and serves until discovery tells more
        self.log.info(
            "settings",
            settings=dataclasses.asdict(config.settings) | {"tag_key": ""},
            memory_mb=config.memory_mb,
            sockets=config.sockets,
            idle_ms=config.idle_ms,
            connect_timeout_ms=config.connect_timeout_ms,
        )
        self.ledger.settle()

    def start(self) -> dict[str, Any]:
        """Listen, and say where. `OSError` where a port can't be had."""
        config, where = self.config, {}
        self.watch.start()
        if self.peer_port is not None:
            host, port = config.peer_listen
            self.reactor.listenUDP(port, self.peer_port, interface=host, maxPacketSize=2048)
            where["peers"] = f"{host}:{port}"
        host, port = config.listen
        self._port = self.reactor.listenTCP(port, self.front, backlog=BACKLOG, interface=host)
        where["resp"] = f"{host}:{self._port.getHost().port}"
        self.log.info("started", **where, workers=len(self.book.entries), number=config.settings.number)
        self.reactor.callLater(REPORT_S, self._report)
        return where

    # ---- discovery -----------------------------------------------------------------------------

    def told(self, change: EndpointChange) -> None:
        """A fleet list or a change of it."""
        applied = self.book.apply(change)
        if applied.endpoints is not None:
            self.ledger.roster(applied.endpoints)
            for worker in applied.replaced:
                self.pool.drop_worker(worker)

    def _discovery_fault(self, why: str) -> None:
        self.log.warning("discovery_fault", fault=why)

    def reload(self, again: Callable[[], InstanceConfig]) -> bool:
        """Take another configuration while we run, whole or not at all: discovery's address, and the settings where
        they changed. `again` reads it, or raises `ConfigFault`."""
        before = self.config.settings
        try:
            config = again()
            faults = [
                f"settings: {name} can't change while running: start the gatekeeper anew"
                for name in reload.fixed_settings(before, config.settings)
            ]
            faults += reload.moved(before, config.settings)
        except InstanceConfigError as problem:
            faults = [str(problem)]
        if faults:
            self.log.error("config_not_taken", faults=faults)
            return False
        self.watch.change_address(config.discovery)
        if config.settings != before:
            self.front.commands = CommandMapper(config.settings)
            self.ledger.change(config.settings)
        self.config = config
        self.log.info("config", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        return True

    # ---- state ---------------------------------------------------------------------------------

    def state(self) -> dict[str, Any]:
        """What this gatekeeper is and does, in plain values."""
        ledger, controller = self.ledger, self.ledger.controller
        return {
            "open": ledger.open,
            "held": len(controller.admission.queue),
            "out": controller.concurrency_limit.in_flight,
            "window": round(controller.concurrency_limit.limit, 2),
            "late_ms": round(ledger.turns_late_ms, 1),
            "workers": len(self.book.entries),
            "to_workers": self.pool.connections,
            "connections": {place: len(kept) for place, kept in self.front.by_state.items()},
            "accounts": len(controller.quota_borrower.accounts),
            "stores": len(controller.quota_owner.buckets),
            "usual_ms": {name: round(value) for name, value in controller.response_times.by_class.items()},
            "reported": {name: round(value, 2) for name, value in self.carrier.statistics.items()},
            "per_worker": {
                name: [state.in_flight, round(state.others_load, 1), round(state.health.latency_ratio, 2)]
                for name, state in controller.endpoints.known.items()
                if name in self.book.entries
            },
            "shares": {name: round(each.share, 2) for name, each in controller.admission.shares.items()},
            "turn": ledger.turn_ms.report(),
            "pauses": self.collector.pauses.report(),
            "counts": dict(ledger.counts),
            "front": dict(self.front.counts),
            "pool": dict(self.pool.counts),
            "peers": dict(self.peer_port.counts) if self.peer_port else {},
        }

    def _report(self) -> None:
        self.log.info("state", **self.state())
        self.reactor.callLater(REPORT_S, self._report)

    # ---- the end -------------------------------------------------------------------------------

    def drain(self) -> defer.Deferred[None]:
        """Finish what was begun and what still comes; fires when all is answered or the time is up."""
        if self._drained is None:
            self._drained = defer.Deferred()
            self._drain_ms = self.clock()
            longest = max(kind.deadline_ms for kind in self.config.settings.classes)
            # Danger: what the kill finds unanswered is lost; where all deadlines are short it comes soon.
            self._kill_ms = self._drain_ms + min(longest, MOST_DEADLINE_MS) + KILL_MS
            self.front.latest_reply_ms = self._kill_ms - WRITE_MS
            self.log.info(
                "draining", open=self.ledger.open, answered_within_ms=self.front.latest_reply_ms - self._drain_ms
            )
            self.front.close_idle()
            self._wait_for_end()
        return self._drained

    def hurry(self) -> None:
        """End the drain now."""
        self.front.latest_reply_ms = self.clock()

    def _wait_for_end(self) -> None:
        now, latest = self.clock(), self.front.latest_reply_ms
        listen_until = min(self._drain_ms + LISTEN_ON_MS, latest)
        if now >= listen_until and self._port is not None:
            self._stop_listening()
        if now < listen_until or (now < latest and (self.ledger.open or self.front.connections)):
            self.reactor.callLater(0.02, self._wait_for_end)
            return
        self.log.info("drained", left_open=self.ledger.open)
        self.front.fail_all()
        self._wait_for_close()

    def _stop_listening(self) -> None:
        """Danger: who was let in by the system and not by us is reset with the listener; so they come in first, all:
        of itself one look takes no more in than the look before."""
        self._port.numberAccepts = BACKLOG
        self._port.doRead()
        self._port.stopListening()
        self._port = None

    def _wait_for_close(self) -> None:
        """The last answers are being written and read."""
        if self.clock() < self._kill_ms - LEAVE_MS and any(self.front.by_state.values()):
            self.reactor.callLater(0.02, self._wait_for_close)
            return
        self.watch.stop()
        self._drained.callback(None)
