"""Wiring of a gateway instance of the RESP platform: request table, frontend, upstream, peers and discovery.

No admission decision is made here: the frontend rejects what exceeds its limits, the controller decides all else.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet import defer

from anisefront.daemon import immutable_settings
from anisefront.daemon.clock import Clock
from anisefront.daemon.collector import Collector
from anisefront.daemon.drain import POLL_INTERVAL_S, Drain
from anisefront.daemon.listeners import listen_tcp, stop_listening
from anisefront.daemon.peer_port import MAX_DATAGRAM_BYTES, PeerPort
from anisefront.daemon.report_document import report_of_request_table, to_document
from anisefront.daemon.request_table import create_request_table
from anisefront.policy.settings import Settings
from anisefront.resp_gateway.command_mapping import CommandMapper
from anisefront.resp_gateway.connection_limits import ConnectionLimits
from anisefront.resp_gateway.discovery_watch import DiscoveryWatch
from anisefront.resp_gateway.endpoint_changes import EndpointChange, EndpointDirectory
from anisefront.resp_gateway.errors import InstanceConfigError
from anisefront.resp_gateway.instance_config import InstanceConfig
from anisefront.resp_gateway.resource_budgets import descriptor_budget, memory_budget
from anisefront.resp_gateway.resp_frontend import RespFrontend
from anisefront.resp_gateway.resp_requests import RespRequests, WorkerConnectionCodec
from anisefront.resp_gateway.state_report import STATE_KEYS, RespStateReport
from anisefront.resp_gateway.unauthenticated_datagrams import UnauthenticatedDatagrams
from anisefront.upstream.connection_pool import ConnectionPool, PoolLimits

REUSE_DELAY_S = 0.01  # after a response, before its connection is used again
RESPONSE_STALL_S = 0.4  # the longest gap within a response
IDLE_FRACTION = 0.6  # of the time after which the platform closes an idle connection
MAX_IDLE_PER_ENDPOINT = 64

# After SIGTERM the platform sends SIGKILL no sooner than the longest deadline, up to a maximum, and a grace period.
LISTEN_AFTER_TERM_MS = 500.0  # clients still open connections for a while
MAX_DEADLINE_MS = 3000.0
KILL_GRACE_MS = 700.0
WRITE_MS = 300.0  # before SIGKILL: time left to write the last replies
EXIT_MS = 100.0  # before SIGKILL: time left for the process to exit

LIST_VALID_AFTER_RELOAD_MS = 4000.0  # what another discovery service has counts as known 4 s after SIGHUP

REPORT_INTERVAL_S = 10.0
COLLECT_INTERVAL_S = 2.0


class RespGatewayInstance:
    """One gateway instance, which is created, started, drained and ended once.

    The clock returns Unix milliseconds that never decrease; `on_fault` is called if the controller raises.
    """

    def __init__(
        self,
        config: InstanceConfig,
        reactor: Any,
        clock: Callable[[], float] | None = None,
        on_fault: Callable[[Exception], None] | None = None,
    ) -> None:
        """Create all parts; no socket is opened yet."""
        self.config = config
        self.reactor = reactor
        self.clock = clock or Clock()
        self.log = structlog.get_logger().bind(gatekeeper=config.name)
        self.peer_port = self._create_peer_port(config)
        self._descriptors = descriptor_budget(config.sockets)
        self._memory = memory_budget(config.memory_mb)
        max_open = self._memory.open_requests
        self.request_table = create_request_table(
            reactor, self.clock, self.log, config.settings, config.seed, self.peer_port, max_open, on_fault
        )
        self.endpoint_directory = EndpointDirectory()
        self._create_upstream(config)
        self._create_frontend(config)
        self.watch = DiscoveryWatch(
            reactor,
            config.discovery,
            lambda: self.endpoint_directory.version,
            self._receive_endpoint_change,
            self._log_discovery_error,
            self.endpoint_directory.reset_version,
        )
        self._list_requested_ms: float | None = None  # without a response yet
        self.collector = Collector(reactor, lambda: self.request_table.open_requests, COLLECT_INTERVAL_S)
        self._port: Any = None
        self._drain = Drain(reactor)
        self._drain_began_ms = 0.0
        self._kill_ms = 0.0

    def _create_peer_port(self, config: InstanceConfig) -> PeerPort | None:
        """Return the port for messages of other instances, None where there are none."""
        if config.peer_listen is None or not config.settings.peer_messages_enabled:
            return None
        datagrams = UnauthenticatedDatagrams(config.settings.number, config.peers)
        return PeerPort(datagrams, lambda sender, data: self.request_table.receive_peer_message(sender, data))

    def _create_upstream(self, config: InstanceConfig) -> None:
        limits = PoolLimits(
            max_incoming_bytes=self._memory.incoming_reply_bytes,
            connect_timeout_s=config.connect_timeout_ms / 1000,
            idle_timeout_s=config.idle_ms * IDLE_FRACTION / 1000,
            max_idle_per_endpoint=MAX_IDLE_PER_ENDPOINT,
            max_connections=self._descriptors.endpoints,
            quiet_period_s=REUSE_DELAY_S,
            stall_timeout_s=RESPONSE_STALL_S,
        )
        self.pool = ConnectionPool(self.reactor, limits, WorkerConnectionCodec, self.endpoint_directory.address_of)
        self.resp_requests = RespRequests(self.request_table, self.pool, config.settings.load_report_fields)

    def _create_frontend(self, config: InstanceConfig) -> None:
        limits = ConnectionLimits(
            max_connections=self._descriptors.clients,
            max_closing=self._descriptors.closing,
            idle_close_threshold=self._descriptors.idle_clients,
            max_buffered_bytes=self._memory.request_bytes,
            max_unsent_bytes=self._memory.unsent_reply_bytes,
            max_incoming_bytes=self._memory.incoming_command_bytes,
        )
        self.frontend = RespFrontend(
            self.reactor, self.resp_requests, CommandMapper(config.settings), self.clock, limits
        )

    def prepare(self) -> None:
        """Apply the known endpoint list and log the settings; opens no socket. Call it before `start`."""
        config = self.config
        if config.known_endpoints is not None:
            # The list may be outdated; it is used until discovery sends a newer one.
            self.apply_endpoint_change(config.known_endpoints)
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
        """Listen, and return the addresses.

        Raises:
            OSError: An address is not available.
        """
        config = self.config
        addresses: dict[str, str] = {}
        self.watch.start()
        self._endpoints_requested(valid_for_ms=0.0)
        if self.peer_port is not None:
            host, port = config.peer_listen
            self.reactor.listenUDP(port, self.peer_port, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES)
            addresses["peers"] = f"{host}:{port}"
        host, port = config.listen
        self._port = listen_tcp(self.reactor, host, port, self.frontend)
        addresses["resp"] = f"{host}:{self._port.getHost().port}"
        self.log.info(
            "started", **addresses, workers=len(self.endpoint_directory.entries), number=config.settings.number
        )
        self.reactor.callLater(REPORT_INTERVAL_S, self._log_state)
        return addresses

    # ---- discovery and settings ----------------------------------------------------------------

    def apply_endpoint_change(self, change: EndpointChange) -> None:
        """Apply an endpoint list or a change to it, and close idle connections to replaced workers."""
        applied = self.endpoint_directory.apply(change)
        if applied.endpoints is None:
            return
        self.request_table.update_endpoints(applied.endpoints)
        for endpoint in applied.replaced:
            self.pool.close_idle(endpoint)

    def _endpoints_requested(self, valid_for_ms: float) -> None:
        self._list_requested_ms = self.clock()
        self.request_table.endpoints_requested(valid_for_ms)

    def _receive_endpoint_change(self, change: EndpointChange) -> None:
        """Apply discovery's response; one without newer changes confirms the present list."""
        self.apply_endpoint_change(change)
        if self._list_requested_ms is None:
            return
        waited_ms = self.clock() - self._list_requested_ms
        self._list_requested_ms = None
        self.request_table.endpoints_confirmed()
        self.log.info(
            "endpoint_list_received", waited_ms=round(waited_ms), workers=len(self.endpoint_directory.entries)
        )

    def _log_discovery_error(self, error: str) -> None:
        self.log.warning("discovery_fault", fault=error)

    def reload(self, read_config: Callable[[], InstanceConfig]) -> bool:
        """Apply another configuration as a whole or reject it. It may change discovery's address and some settings.

        Args:
            read_config: Reads the configuration; raises `InstanceConfigError` if it is invalid.

        Returns:
            Whether it was applied.
        """
        before = self.config.settings
        try:
            config = read_config()
            errors = _rejected_changes(before, config.settings)
        except InstanceConfigError as error:
            errors = [str(error)]
        if errors:
            self.log.error("config_not_taken", faults=errors)
            return False
        if self.watch.change_address(config.discovery):
            self._endpoints_requested(LIST_VALID_AFTER_RELOAD_MS)
        if config.settings != before:
            self.frontend.commands = CommandMapper(config.settings)
            self.request_table.change_settings(config.settings)
        self.config = config
        self.log.info("config", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        return True

    # ---- state ---------------------------------------------------------------------------------

    def state(self) -> dict[str, Any]:
        """Return the state report as a document."""
        return to_document(self._report(), STATE_KEYS)

    def _report(self) -> RespStateReport:
        table = self.request_table
        controller = table.controller
        times_ms = controller.response_times.by_class
        return RespStateReport(
            requests=report_of_request_table(table),
            endpoints=len(self.endpoint_directory.entries),
            endpoint_connections=self.pool.connections,
            client_connections={state: len(clients) for state, clients in self.frontend.by_state.items()},
            customer_accounts=len(controller.quota_borrower.accounts),
            quota_buckets=len(controller.quota_owner.buckets),
            response_times_ms={name: round(time_ms) for name, time_ms in times_ms.items()},
            reported_loads={name: round(load, 2) for name, load in self.resp_requests.statistics.items()},
            endpoint_loads=self._endpoint_loads(),
            class_shares={name: round(each.share, 2) for name, each in controller.admission.shares.items()},
            batch_durations=table.batches.duration_ms.report(),
            collector_pauses=self.collector.pauses.report(),
            request_counts=dict(table.counts),
            frontend_counts=self.frontend.report(),
            connection_pool_counts=dict(self.pool.counts),
            datagram_counts=dict(self.peer_port.counts) if self.peer_port else {},
        )

    def _endpoint_loads(self) -> dict[str, list[float]]:
        return {
            name: [state.in_flight, round(state.others_load, 1), round(state.health.latency_ratio, 2)]
            for name, state in self.request_table.controller.endpoints.known.items()
            if name in self.endpoint_directory.entries
        }

    def _log_state(self) -> None:
        self.log.info("state", **self.state())
        self.reactor.callLater(REPORT_INTERVAL_S, self._log_state)

    # ---- drain ---------------------------------------------------------------------------------

    def drain(self) -> defer.Deferred[None]:
        """Finish requests in flight and those that still arrive; fires when all have replies or the time is up."""
        return self._drain.begin(self._begin_drain)

    def end_drain(self) -> None:
        """End the drain now."""
        self.frontend.latest_reply_ms = self.clock()

    def _begin_drain(self) -> None:
        self._drain_began_ms = self.clock()
        longest_ms = max(each.deadline_ms for each in self.config.settings.classes)
        # Requests that SIGKILL finds unanswered are lost; with short deadlines it comes soon.
        self._kill_ms = self._drain_began_ms + min(longest_ms, MAX_DEADLINE_MS) + KILL_GRACE_MS
        self.frontend.latest_reply_ms = self._kill_ms - WRITE_MS
        answered_within_ms = self.frontend.latest_reply_ms - self._drain_began_ms
        self.log.info("draining", open=self.request_table.open_requests, answered_within_ms=answered_within_ms)
        self.frontend.close_idle()
        self._wait_for_replies()

    def _wait_for_replies(self) -> None:
        """Stop listening after `LISTEN_AFTER_TERM_MS`; wait until all requests have replies or the time is up."""
        now_ms = self.clock()
        latest_ms = self.frontend.latest_reply_ms
        listen_until_ms = min(self._drain_began_ms + LISTEN_AFTER_TERM_MS, latest_ms)
        if now_ms >= listen_until_ms and self._port is not None:
            self._stop_listening()
        is_busy = self.request_table.open_requests or self.frontend.connections
        if now_ms < listen_until_ms or (now_ms < latest_ms and is_busy):
            self.reactor.callLater(POLL_INTERVAL_S, self._wait_for_replies)
            return
        self.log.info("drained", left_open=self.request_table.open_requests)
        self.frontend.fail_all()
        self._drain.poll(self._is_closed, self._end)

    def _stop_listening(self) -> None:
        stop_listening(self._port)
        self._port = None

    def _is_closed(self) -> bool:
        """Return whether the clients have read the last replies, or the process has to end."""
        return self.clock() >= self._kill_ms - EXIT_MS or not any(self.frontend.by_state.values())

    def _end(self) -> None:
        self.watch.stop()
        self._drain.complete()


def _rejected_changes(before: Settings, after: Settings) -> list[str]:
    """Return a message for each difference of the settings that needs a restart."""
    messages = [
        f"settings: {name} can't change while running: restart the gatekeeper"
        for name in immutable_settings.immutable_differences(before, after)
    ]
    return messages + immutable_settings.reordered(before, after)
