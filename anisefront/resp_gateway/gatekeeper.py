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
from anisefront.gateway.request_table import RequestTable
from anisefront.policy.controller import Controller
from anisefront.resp_gateway.carrier import NodeCarrier, RespAnswers
from anisefront.resp_gateway.config import ConfigFault, NodeConfig
from anisefront.resp_gateway.discovery import Book, Change
from anisefront.resp_gateway.front import Front, FrontLimits
from anisefront.resp_gateway.peers import PeerPort
from anisefront.resp_gateway.terms import Reader
from anisefront.resp_gateway.watch import Watch
from anisefront.upstream.connection_pool import ConnectionPool, PoolLimits

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
        config: NodeConfig,
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
                settings.number,
                config.peers,
                lambda sender, data: self.request_table.receive_peer_message(sender, data),
            )
        self.request_table = RequestTable(
            Controller(settings, config.seed),
            self.clock,
            reactor,
            self.peer_port.tell if self.peer_port else lambda receiver, data: None,
            max_open_requests=max(64, int(config.memory_mb * 16)),
            on_controller_error=on_fault,
            on_action_error=lambda problem: self.log.error("action_raised", exc_info=problem),
        )
        self.book = Book()
        most = max(32, config.sockets - OTHER_SOCKETS)
        clients = int(most * CLIENT_PART)
        closing = max(8, int(clients * CLOSING_PART))
        self.pool = ConnectionPool(
            reactor,
            PoolLimits(
                connect_timeout_s=config.connect_timeout_ms / 1000,
                idle_timeout_s=config.idle_ms * IDLE_PART / 1000,
                max_idle_per_endpoint=64,
                max_connections=most - clients,
                quiet_period_s=REST_S,
                stall_timeout_s=STALL_S,
            ),
            RespAnswers,
            self.book.address_of,
        )
        self.carrier = NodeCarrier(self.request_table, self.pool, settings.load_report_fields)
        self.front = Front(
            reactor,
            self.carrier,
            Reader(settings),
            self.clock,
            FrontLimits(clients - closing, closing, config.sockets // 8, int(config.memory_mb * (1 << 20) / 8)),
        )
        self.watch = Watch(
            reactor,
            config.discovery,
            lambda: self.book.index,
            self.told,
            self._discovery_fault,
            self.book.forget_version,
        )
        self.collector = Collector(reactor, lambda: self.request_table.open_requests, every_s=COLLECT_S)
        self._port: Any = None
        self._drained: defer.Deferred[None] | None = None

    def prepare(self) -> None:
        """All the work of starting that needs no port, before `start`."""
        config = self.config
        if config.known is not None:
            self.told(config.known)  # it may be old, and serves until discovery tells more
        self.log.info(
            "settings",
            settings=dataclasses.asdict(config.settings) | {"tag_key": ""},
            memory_mb=config.memory_mb,
            sockets=config.sockets,
            idle_ms=config.idle_ms,
            connect_timeout_ms=config.connect_timeout_ms,
        )
        self.request_table.batches.run_scheduled()

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

    def told(self, change: Change) -> None:
        """A fleet list or a change of it."""
        fleet, moved = self.book.apply(change)
        if fleet is not None:
            self.request_table.update_endpoints(fleet)
            for worker in moved:
                self.pool.close_idle(worker)

    def _discovery_fault(self, why: str) -> None:
        self.log.warning("discovery_fault", fault=why)

    def reload(self, again: Callable[[], NodeConfig]) -> bool:
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
        except ConfigFault as problem:
            faults = [str(problem)]
        if faults:
            self.log.error("config_not_taken", faults=faults)
            return False
        self.watch.move(config.discovery)
        if config.settings != before:
            self.front.terms = Reader(config.settings)
            self.request_table.change_settings(config.settings)
        self.config = config
        self.log.info("config", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        return True

    # ---- state ---------------------------------------------------------------------------------

    def state(self) -> dict[str, Any]:
        """What this gatekeeper is and does, in plain values."""
        request_table, controller = self.request_table, self.request_table.controller
        return {
            "open": request_table.open_requests,
            "held": len(controller.admission.queue),
            "out": controller.concurrency_limit.in_flight,
            "window": round(controller.concurrency_limit.limit, 2),
            "late_ms": round(request_table.batches.lateness_ms, 1),
            "workers": len(self.book.entries),
            "to_workers": self.pool.connections,
            "connections": {place: len(kept) for place, kept in self.front.places.items()},
            "accounts": len(controller.quota_borrower.accounts),
            "stores": len(controller.quota_owner.buckets),
            "usual_ms": {name: round(value) for name, value in controller.response_times.by_class.items()},
            "reported": {name: round(value, 2) for name, value in self.carrier.seen.items()},
            "per_worker": {
                name: [state.in_flight, round(state.others_load, 1), round(state.health.latency_ratio, 2)]
                for name, state in controller.endpoints.known.items()
                if name in self.book.entries
            },
            "shares": {name: round(each.share, 2) for name, each in controller.admission.shares.items()},
            "turn": request_table.batches.duration_ms.report(),
            "pauses": self.collector.pauses.report(),
            "counts": dict(request_table.counts),
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
            self.front.latest_ms = self._kill_ms - WRITE_MS
            self.log.info(
                "draining",
                open=self.request_table.open_requests,
                answered_within_ms=self.front.latest_ms - self._drain_ms,
            )
            self.front.close_idle()
            self._wait_for_end()
        return self._drained

    def hurry(self) -> None:
        """End the drain now."""
        self.front.latest_ms = self.clock()

    def _wait_for_end(self) -> None:
        now, latest = self.clock(), self.front.latest_ms
        listen_until = min(self._drain_ms + LISTEN_ON_MS, latest)
        if now >= listen_until and self._port is not None:
            self._stop_listening()
        if now < listen_until or (now < latest and (self.request_table.open_requests or self.front.connections)):
            self.reactor.callLater(0.02, self._wait_for_end)
            return
        self.log.info("drained", left_open=self.request_table.open_requests)
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
        if self.clock() < self._kill_ms - LEAVE_MS and any(self.front.places.values()):
            self.reactor.callLater(0.02, self._wait_for_close)
            return
        self.watch.stop()
        self._drained.callback(None)
