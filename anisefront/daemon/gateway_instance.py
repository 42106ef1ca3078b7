"""Wiring of a gateway instance of the settings language: request table, frontends, upstreams, peers and endpoints.

It makes no decisions: the frontends reject what arrives while it drains, the controller decides everything else.
"""

from __future__ import annotations

import secrets
import socket
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet import defer, task

from anisefront.cluster import membership_messages, replication_codec
from anisefront.cluster.datagrams import DatagramAuthenticator
from anisefront.config.types import Config
from anisefront.daemon.authenticated_datagrams import AuthenticatedDatagrams
from anisefront.daemon.clock import Clock
from anisefront.daemon.collector import Collector
from anisefront.daemon.drain import Drain
from anisefront.daemon.endpoint_file import EndpointFile
from anisefront.daemon.event_loop_monitor import EventLoopMonitor
from anisefront.daemon.listeners import listen_tcp, stop_listening
from anisefront.daemon.membership_service import MembershipService
from anisefront.daemon.memory_purposes import memory_report
from anisefront.daemon.peer_port import MAX_DATAGRAM_BYTES, PeerPort
from anisefront.daemon.recorder import Recorder
from anisefront.daemon.replication import ReplicationService
from anisefront.daemon.report_document import to_document
from anisefront.daemon.request_table import create_request_table
from anisefront.daemon.settings_source import SettingsSource
from anisefront.daemon.settings_updates import SettingsUpdates
from anisefront.daemon.state_report import STATE_KEYS, report_of
from anisefront.frontends import access_log, authorization
from anisefront.frontends.grpc_server import GrpcFactory, ServerLimits
from anisefront.frontends.health import HealthService, ServingStatus
from anisefront.frontends.input_scheduler import InputScheduler
from anisefront.frontends.jsonrpc_dispatcher import CallDispatcher
from anisefront.frontends.jsonrpc_frontend import JsonRpcFactory
from anisefront.gateway.routing import Router, first_gateway
from anisefront.gateway.versions import Version
from anisefront.upstream.connection_pool import ConnectionPool
from anisefront.upstream.delegated_checks import DelegationTimeouts
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.upstream.direct_requests import DirectRequests

PEER_RECEIVE_BUFFER_BYTES = 4 << 20  # requested size; the operating system may grant less
MIN_LOGGED_LATENESS_MS = 100.0  # noticeable to clients; less is only counted
RECORDING_INTERVAL_S = 1.0
FINAL_READS = 3  # event loop iterations at the end of the drain that still read from clients
FINAL_READ_INTERVAL_S = 0.01
FINAL_WRITE_S = 0.05  # for writing the last responses
MEMBERSHIP_MARK = bytes((membership_messages.MAGIC_BYTE,))
REPLICATION_MARK = bytes((replication_codec.MAGIC_BYTE,))
SERVICES = ("envoy.service.auth.v3.Authorization", "envoy.service.accesslog.v3.AccessLogService")


def _delegation_timeouts(config: Config) -> DelegationTimeouts:
    return DelegationTimeouts(config.log_ms, config.ask_again_ms, max_withheld_ms=config.park_ms)


class GatewayInstance:
    """One gateway instance, which is created, started and drained once.

    The clock returns Unix milliseconds that never decrease; `on_fault` is called if the controller raises.
    """

    def __init__(
        self,
        version: Version,
        reactor: Any,
        clock: Callable[[], float] | None = None,
        on_fault: Callable[[Exception], None] | None = None,
        source: SettingsSource | None = None,
    ) -> None:
        """Create all components without opening a socket. Without a source the settings never change."""
        config = version.config
        settings = config.settings
        self.reactor = reactor
        self.clock = clock or Clock()
        self.log = structlog.get_logger().bind(gatekeeper=settings.number)
        self.incarnation = secrets.token_hex(6)  # identifies this process in tokens and traces
        self.started_ms = self.clock()
        self.process_incarnation = int(self.started_ms)
        seed = config.seed if config.seed is not None else secrets.randbits(48)
        self._connect_peers(config, seed)
        self.request_table = create_request_table(
            reactor, self.clock, self.log, settings, seed, self.peer_port, config.most_open, on_fault
        )
        self._create_settings_updates(version, source)
        self._create_upstreams(config)
        self._create_frontends(config)
        self._replicate_requests(config)
        self.request_table.batches.before_iteration.append(self.grpc.collect)
        self.request_table.batches.after_iteration.append(self.grpc.flush)
        self._record_events(config)
        self._create_monitoring()
        self.endpoint_file = EndpointFile(reactor, config.roster_file, self.request_table.update_endpoints, self.log)
        self._listeners: list[Any] = []
        self._drain = Drain(reactor)
        self._drain_until_ms = 0.0

    # ---- wiring --------------------------------------------------------------------------------

    def _create_settings_updates(self, version: Version, source: SettingsSource | None) -> None:
        self.updates = SettingsUpdates(
            self.reactor,
            self.clock,
            self.log,
            version,
            source,
            lambda: self.request_table.batches.waiting > 0,
            self._apply_settings,
        )

    def _connect_peers(self, config: Config, seed: int) -> None:
        """Create the peer port, and the membership if it is enabled."""
        self.peer_port: PeerPort | None = None
        self.membership_service: MembershipService | None = None
        if config.peers_listen is None:
            return
        number = config.settings.number
        self.datagram_authenticator = DatagramAuthenticator(config.secret, number, self.process_incarnation)
        self.peer_port = PeerPort(
            AuthenticatedDatagrams(self.datagram_authenticator, config.peers), self._on_peer_message
        )
        if config.members_ms:
            self.membership_service = MembershipService(
                self.reactor,
                self.clock,
                self.peer_port.send,
                self.log,
                number,
                self.process_incarnation,
                config.peers,
                seed,
                config.members_ms,
            )

    def _create_upstreams(self, config: Config) -> None:
        """Create both attempt handlers: for delegated requests and for direct requests."""
        if self.membership_service is not None:
            self.membership_service.on_unavailable = self.request_table.set_unreachable_peers
        self.delegated_requests = DelegatedRequests(
            self.request_table, self.reactor, self.incarnation, _delegation_timeouts(config)
        )
        self.pool = ConnectionPool(self.reactor)
        self.direct_requests = DirectRequests(
            self.request_table, self.pool, self.incarnation, config.settings.load_report_fields
        )

    def _create_frontends(self, config: Config) -> None:
        """Create the gRPC services and the JSON-RPC service."""
        self.authorization = authorization.AuthorizationService(
            self.router, self.delegated_requests, self.clock, self.gateways_of
        )
        self.dispatcher = CallDispatcher(self.router, self.direct_requests, self.clock, self.gateways_of, self.state)
        self.health = HealthService(SERVICES)
        methods = {
            authorization.PATH: self.authorization.method(),
            access_log.PATH: access_log.method(self.delegated_requests, config.settings.load_report_fields),
            **self.health.methods(),
        }
        input_scheduler = InputScheduler(self.reactor, self.request_table.batches.is_behind)
        self.grpc = GrpcFactory(self.reactor, methods, ServerLimits(config.most_connections), input_scheduler)
        self.jsonrpc = JsonRpcFactory(
            self.reactor, self.dispatcher, config.most_connections, input_scheduler=input_scheduler
        )

    def _replicate_requests(self, config: Config) -> None:
        """Replicate requests to peers if that is enabled; it needs the membership."""
        self.replication_service: ReplicationService | None = None
        if self.membership_service is None or not config.lease_ms:
            return
        self.replication_service = ReplicationService(
            self.reactor,
            self.clock,
            self.peer_port.send,
            self.log,
            config,
            self.process_incarnation,
            self.membership_service.membership,
        )
        self.replication_service.attach(self.request_table, self.direct_requests, self.delegated_requests)
        self.membership_service.on_changes = self.replication_service.on_member_changes

    def _record_events(self, config: Config) -> None:
        """Record events and actions if that is enabled."""
        self.recorder: Recorder | None = None
        if config.recording is None:
            return
        self.recorder = Recorder(config.recording, config.settings.number, self.incarnation, self.started_ms)
        self.request_table.processor.observer = self.recorder.record_event
        self._recording_loop = task.LoopingCall(self.recorder.flush)
        self._recording_loop.clock = self.reactor

    def _create_monitoring(self) -> None:
        """Create the monitors of this process."""
        self.event_loop_monitor = EventLoopMonitor(self.reactor, self.clock, self._on_event_loop_late)
        self.collector = Collector(self.reactor, lambda: self.request_table.open_requests)
        self.memory = memory_report(self)

    # ---- settings ------------------------------------------------------------------------------

    @property
    def version(self) -> Version:
        """Return the current settings version."""
        return self.updates.version

    @property
    def config(self) -> Config:
        """Return the current settings."""
        return self.version.config

    def router(self) -> Router:
        """Return the current routes."""
        return self.version.router

    def gateways_of(self, customer: str) -> tuple[int, int]:
        """Return the first gateway instance of a customer's set and the set's size; the same at all instances."""
        settings = self.config.settings
        return first_gateway(customer, settings.tag_key, settings.gateways), self.config.spread

    def reload(self) -> None:
        """Read the settings, and apply or reject them as a whole."""
        self.updates.request_reload()

    def _apply_settings(self, previous: Config) -> None:
        """Apply a new version. A request that arrived before the change ends under the previous settings.

        Class and plan: the controller stores those of each request, and receives earlier arrivals before the change.
        Deadline: it is a point in time, computed at the arrival.
        Endpoints: they can't change while running.
        Replication: its outcome is reported by the class that the request had at its arrival.
        Delegation: timeouts that start after the change use the new values, since proxies are not synchronized.
        """
        config = self.config
        self.request_table.max_open_requests = config.most_open
        self.delegated_requests.timeouts = _delegation_timeouts(config)
        # The controller visits each customer whose quota it owns, so it is not given changes of routes and keys.
        if config.settings != previous.settings:
            self.request_table.change_settings(config.settings)
        if self.replication_service is not None:
            self.replication_service.update_config(config)
        self.reactor.callLater(0, self.collector.freeze_new_objects)

    # ---- service -------------------------------------------------------------------------------

    def start(self) -> dict[str, Any]:
        """Listen, and return the addresses by frontend.

        Raises:
            OSError: An address is not available.
        """
        config = self.config
        addresses: dict[str, str] = {}
        self.event_loop_monitor.start()
        if self.recorder is not None:
            self._recording_loop.start(RECORDING_INTERVAL_S, now=False)
        if config.roster_file:
            self.endpoint_file.start()
        for name, address, factory in (("grpc", config.grpc, self.grpc), ("jsonrpc", config.jsonrpc, self.jsonrpc)):
            if address is not None:
                listener = listen_tcp(self.reactor, address.host, address.port, factory)
                self._listeners.append(listener)
                addresses[name] = f"{address.host}:{listener.getHost().port}"
        if self.peer_port is not None:
            addresses["peers"] = self._listen_for_peers(config)
        if self.membership_service is not None:
            self.membership_service.start()
        self.log.info("started", **addresses, life=self.incarnation, servers=len(self.request_table.endpoint_statuses))
        return addresses

    def _listen_for_peers(self, config: Config) -> str:
        address = config.peers_listen
        self._peer_listener = self.reactor.listenUDP(
            address.port, self.peer_port, interface=address.host, maxPacketSize=MAX_DATAGRAM_BYTES
        )
        # If a peer fails with thousands of requests in flight, the others exchange thousands of datagrams at once.
        self._peer_listener.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PEER_RECEIVE_BUFFER_BYTES)
        return f"{address.host}:{self._peer_listener.getHost().port}"

    def _on_peer_message(self, sender: int, data: bytes) -> None:
        """Dispatch a peer's message by its first byte."""
        mark = data[:1]
        if mark == MEMBERSHIP_MARK:
            if self.membership_service is not None:
                self.membership_service.receive(
                    sender, self.datagram_authenticator.peers[sender].process_incarnation, data
                )
        elif mark == REPLICATION_MARK:
            if self.replication_service is not None:
                self.replication_service.receive(
                    sender, self.datagram_authenticator.peers[sender].process_incarnation, data
                )
        else:
            self.request_table.receive_peer_message(sender, data)

    def _on_event_loop_late(self, late_ms: float, cause: str) -> None:
        if late_ms >= MIN_LOGGED_LATENESS_MS:
            self.log.warning("loop_late", late_ms=round(late_ms), cause=cause)

    def state(self) -> dict[str, Any]:
        """Return the state report of this gateway instance as a document."""
        return to_document(report_of(self), STATE_KEYS)

    # ---- drain ---------------------------------------------------------------------------------

    def drain(self) -> defer.Deferred[None]:
        """Reject new requests and finish those in flight; fires when all are answered or the drain times out."""
        return self._drain.begin(self._begin_drain)

    def end_drain(self) -> None:
        """End the drain now."""
        self._drain_until_ms = self.clock()

    def _begin_drain(self) -> None:
        self.authorization.draining = True
        self.dispatcher.draining = True
        self.health.set_all(ServingStatus.NOT_SERVING)
        self.updates.stop()
        self._drain_until_ms = self.clock() + self.config.drain_ms
        self.log.info("draining", open=self.request_table.open_requests)
        self._drain.poll(self._is_drained, self._stop_listening)

    def _is_drained(self) -> bool:
        return not self.request_table.requests or self.clock() >= self._drain_until_ms

    def _stop_listening(self) -> None:
        for listener in self._listeners:
            stop_listening(listener)
        self._read_remaining(FINAL_READS)

    def _read_remaining(self, reads: int) -> None:
        """Let the event loop read and reject what clients sent before the listeners closed.

        Closing a socket with unread data resets its connection: the client would not know whether its request was
        executed.
        """
        if reads:
            self.reactor.callLater(FINAL_READ_INTERVAL_S, self._read_remaining, reads - 1)
        else:
            self._leave()

    def _leave(self) -> None:
        """End the drain: all requests are answered or handed over, and peers are notified."""
        self.log.info("drained", left_open=self.request_table.open_requests)
        if self.replication_service is not None:
            self.replication_service.stop()
        else:  # no peer continues open requests
            self.request_table.fail_open_requests()
        if self.membership_service is not None:
            self.membership_service.leave()
        if self.recorder is not None:
            self.recorder.flush()
        self.grpc.drain()
        self.reactor.callLater(FINAL_WRITE_S, self._drain.complete)
