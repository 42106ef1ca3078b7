"""Memory purposes of a gateway instance of the settings language, with their limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anisefront.daemon.memory import MemoryReport, Purpose
from anisefront.frontends.grpc_server import GrpcFactory
from anisefront.frontends.jsonrpc_frontend import JsonRpcFactory
from anisefront.gateway.request_table import RequestTable
from anisefront.policy.controller import Controller
from anisefront.policy.customer_account import CustomerAccount
from anisefront.policy.endpoint_state import EndpointState
from anisefront.policy.events import EndpointList
from anisefront.policy.settings import Plan, RequestClass, Settings
from anisefront.upstream.connection_pool import ConnectionPool
from anisefront.upstream.delegated_requests import DelegatedRequests
from anisefront.upstream.direct_requests import DirectRequests

if TYPE_CHECKING:
    from anisefront.daemon.gateway_instance import GatewayInstance

# Types that many objects reference: not attributed to any entry of the memory report.
_SHARED_TYPES = (
    Settings,
    Plan,
    RequestClass,
    Controller,
    RequestTable,
    DelegatedRequests,
    DirectRequests,
    ConnectionPool,
    CustomerAccount,
    EndpointState,
    GrpcFactory,
    JsonRpcFactory,
    EndpointList,
)


def memory_report(instance: GatewayInstance) -> MemoryReport:
    """Return the memory report of a gateway instance."""
    return MemoryReport(_purposes(instance), _SHARED_TYPES, instance.clock)


def _purposes(instance: GatewayInstance) -> tuple[Purpose, ...]:
    controller = instance.request_table.controller

    def max_customers() -> int:
        return instance.config.settings.max_customers

    def max_open() -> int:
        return instance.config.most_open

    def gateways() -> int:
        return instance.config.settings.gateways

    def max_connections() -> int:
        return 2 * instance.config.most_connections  # of both frontends

    return (
        Purpose("accounts", lambda: controller.quota_borrower.accounts, max_customers),
        Purpose("stores", lambda: controller.quota_owner.buckets, max_customers),
        Purpose("requests", lambda: instance.request_table.requests, max_open),
        Purpose("attempts", lambda: controller.attempts.in_flight),
        Purpose("exchanges", lambda: instance.delegated_requests.index.by_number, max_open),
        Purpose("agenda", lambda: controller.timers.pending),
        Purpose("peers", lambda: instance.datagram_authenticator.peers if instance.peer_port else {}, gateways),
        Purpose("workers", lambda: controller.endpoints.known),
        Purpose("connections", lambda: [*instance.grpc.connections, *instance.jsonrpc.connections], max_connections),
    )
