"""Division of the limits on file descriptors and memory, under which the platform runs a gateway instance."""

from __future__ import annotations

from dataclasses import dataclass

OTHER_DESCRIPTORS = 24  # standard streams, event loop, listener, datagrams, discovery old and new, and a reserve
MIN_DESCRIPTORS = 32  # for clients and endpoints
CLIENT_FRACTION = 0.5  # of the descriptors; the rest is for endpoints
CLOSING_FRACTION = 1 / 8  # of the clients' connections, which may be closing
MIN_CLOSING = 8
IDLE_CLIENT_FRACTION = 1 / 8  # of all descriptors; above it, connections that are idle for long are closed

REQUEST_FRACTION = 1 / 8  # of the memory limit
UNSENT_REPLY_FRACTION = 1 / 16
INCOMING_COMMAND_FRACTION = 1 / 16
INCOMING_REPLY_FRACTION = 1 / 16
OPEN_REQUESTS_PER_MB = 16
MIN_OPEN_REQUESTS = 64
BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """How many descriptors each kind of connection may use.

    Attributes:
        clients: Open connections of clients.
        closing: Connections of clients that are closing.
        endpoints: Connections to workers.
        idle_clients: Connections of clients above which those that are idle for long are closed.
    """

    clients: int
    closing: int
    endpoints: int
    idle_clients: int


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """How much memory peers may make an instance hold. The rest is for the program and for customers' accounts.

    Attributes:
        request_bytes: Open requests, and replies that wait for earlier ones of their connection.
        unsent_reply_bytes: Replies that clients do not read.
        incoming_command_bytes: Clients' incomplete commands, and commands that wait behind invalid ones.
        incoming_reply_bytes: Workers' incomplete replies.
        open_requests: Number of requests without a final reply.
    """

    request_bytes: int
    unsent_reply_bytes: int
    incoming_command_bytes: int
    incoming_reply_bytes: int
    open_requests: int


def descriptor_budget(descriptors: int) -> DescriptorBudget:
    """Divide the descriptors of the process."""
    available = max(MIN_DESCRIPTORS, descriptors - OTHER_DESCRIPTORS)
    clients = int(available * CLIENT_FRACTION)
    closing = max(MIN_CLOSING, int(clients * CLOSING_FRACTION))
    idle_clients = int(descriptors * IDLE_CLIENT_FRACTION)
    return DescriptorBudget(clients - closing, closing, available - clients, idle_clients)


def memory_budget(memory_mb: float) -> MemoryBudget:
    """Divide the memory limit, in megabytes (2^20 bytes)."""
    memory_bytes = memory_mb * BYTES_PER_MB
    return MemoryBudget(
        request_bytes=int(memory_bytes * REQUEST_FRACTION),
        unsent_reply_bytes=int(memory_bytes * UNSENT_REPLY_FRACTION),
        incoming_command_bytes=int(memory_bytes * INCOMING_COMMAND_FRACTION),
        incoming_reply_bytes=int(memory_bytes * INCOMING_REPLY_FRACTION),
        open_requests=max(MIN_OPEN_REQUESTS, int(memory_mb * OPEN_REQUESTS_PER_MB)),
    )
