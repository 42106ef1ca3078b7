"""`grpc.health.v1.Health`: Check and Watch, by service."""

from __future__ import annotations

from enum import IntEnum

from anisefront.frontends.grpc_call import Call, Method
from anisefront.protocols import grpc

MAX_WATCHERS = 256
_SERVICE_FIELD = 1  # of HealthCheckRequest
_STATUS_TAG = 0x08  # field 1, varint, of HealthCheckResponse
# Wire types of the protobuf encoding.
_VARINT = 0
_FIXED64 = 1
_LENGTH_DELIMITED = 2
_FIXED32 = 5


class ServingStatus(IntEnum):
    """HealthCheckResponse.ServingStatus."""

    UNKNOWN = 0
    SERVING = 1
    NOT_SERVING = 2
    SERVICE_UNKNOWN = 3


class HealthService:
    """The status of each service, and the calls that watch it. An empty name is the whole server."""

    def __init__(self, services: tuple[str, ...], max_watchers: int = MAX_WATCHERS) -> None:
        """Create the service; all services are `SERVING`."""
        self.watchers: set[_Watch] = set()
        self.max_watchers = max_watchers
        self._statuses = dict.fromkeys(("", *services), ServingStatus.SERVING)

    def methods(self) -> dict[bytes, Method]:
        """Return entries for a `GrpcFactory`."""
        return {
            b"/grpc.health.v1.Health/Check": lambda call: _Check(self, call),
            b"/grpc.health.v1.Health/Watch": lambda call: _Watch(self, call),
        }

    def status(self, service: str) -> ServingStatus | None:
        """Return a service's status, None for an unknown service."""
        return self._statuses.get(service)

    def set_all(self, status: ServingStatus) -> None:
        """Set the status of every service and notify the watchers."""
        self._statuses = dict.fromkeys(self._statuses, status)
        for watcher in list(self.watchers):
            watcher.notify()


def _decode_service(data: bytes) -> str:
    """Return the field `service` of a HealthCheckRequest; other fields are skipped."""
    try:
        return _find_service(data)
    except (IndexError, UnicodeDecodeError) as error:
        raise grpc.GrpcStatusError(grpc.StatusCode.INVALID_ARGUMENT, "no HealthCheckRequest") from error


def _find_service(data: bytes) -> str:
    """Return the last value of the field `service`.

    Raises:
        IndexError: The message is truncated, or has an unknown wire type.
        UnicodeDecodeError: The value is not UTF-8.
    """
    offset = 0
    name = ""
    while offset < len(data):
        tag, offset = _decode_varint(data, offset)
        wire_type = tag & 7
        if wire_type == _VARINT:
            _, offset = _decode_varint(data, offset)
        elif wire_type == _LENGTH_DELIMITED:
            size, offset = _decode_varint(data, offset)
            end = offset + size
            if end > len(data):
                raise IndexError
            if tag >> 3 == _SERVICE_FIELD:
                name = data[offset:end].decode()
            offset = end
        elif wire_type == _FIXED64:
            offset += 8
        elif wire_type == _FIXED32:
            offset += 4
        else:
            raise IndexError
    return name


def _decode_varint(data: bytes, offset: int) -> tuple[int, int]:
    """Return the value at `offset` and the offset behind it."""
    value = 0
    shift = 0
    while True:
        byte = data[offset]
        value |= (byte & 0x7F) << shift
        offset += 1
        shift += 7
        if byte < 0x80:
            return value, offset
        if shift > 63:  # a varint has at most ten bytes
            raise IndexError


def _encode_status(status: ServingStatus) -> bytes:
    """Encode a HealthCheckResponse; proto3 omits a field whose value is zero."""
    if status is ServingStatus.UNKNOWN:
        return b""
    return bytes((_STATUS_TAG, status))


class _Check:
    """One call of Check."""

    __slots__ = ("_call", "_health")

    def __init__(self, health: HealthService, call: Call) -> None:
        self._health = health
        self._call = call

    def message_received(self, data: bytes) -> None:
        """Respond with the current status."""
        status = self._health.status(_decode_service(data))
        if status is None:
            raise grpc.GrpcStatusError(grpc.StatusCode.NOT_FOUND, "no such service")
        self._call.finish(_encode_status(status))

    def half_closed(self) -> None:
        """Reject a call that ended without a message."""
        raise grpc.GrpcStatusError(grpc.StatusCode.INVALID_ARGUMENT, "a check without a message")

    def cancelled(self) -> None:
        """Do nothing: the call has no state."""


class _Watch:
    """One call of Watch."""

    def __init__(self, health: HealthService, call: Call) -> None:
        self._health = health
        self._call = call
        self._service: str | None = None
        self._sent_status: ServingStatus | None = None

    def message_received(self, data: bytes) -> None:
        """Send the current status and start watching it."""
        if self._service is not None:
            raise grpc.GrpcStatusError(grpc.StatusCode.INVALID_ARGUMENT, "one message a watch")
        if len(self._health.watchers) >= self._health.max_watchers:
            raise grpc.GrpcStatusError(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many watch")
        self._service = _decode_service(data)
        self._health.watchers.add(self)
        self.notify()

    def notify(self) -> None:
        """Send the status if it has changed."""
        status = self._health.status(self._service)
        if status is None:
            status = ServingStatus.SERVICE_UNKNOWN
        if status is not self._sent_status:
            self._sent_status = status
            self._call.reply(_encode_status(status))

    def half_closed(self) -> None:
        """Do nothing: a watch continues until its client cancels it."""

    def cancelled(self) -> None:
        """Stop watching."""
        self._health.watchers.discard(self)
