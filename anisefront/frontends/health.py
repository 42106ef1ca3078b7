"""`grpc.health.v1.Health`: Check and Watch, by service."""

from __future__ import annotations

from enum import IntEnum

from anisefront.frontends.grpcserver import Call, Method
from anisefront.protocols import grpc


class Serving(IntEnum):
    """HealthCheckResponse.ServingStatus."""

    UNKNOWN = 0
    SERVING = 1
    NOT_SERVING = 2
    SERVICE_UNKNOWN = 3


class Health:
    """The state of each service and who watches it. "" is the whole server."""

    def __init__(self, services: tuple[str, ...], most_watchers: int = 256) -> None:
        self._state = dict.fromkeys(("", *services), Serving.SERVING)
        self._watchers: set[_Watch] = set()
        self.most_watchers = most_watchers

    def methods(self) -> dict[bytes, Method]:
        """Entries for a `GrpcFactory`."""
        return {
            b"/grpc.health.v1.Health/Check": lambda call: _Check(self, call),
            b"/grpc.health.v1.Health/Watch": lambda call: _Watch(self, call),
        }

    def state(self, service: str) -> Serving | None:
        """A service's state, None for one that is not here."""
        return self._state.get(service)

    def set_all(self, state: Serving) -> None:
        """Set every service and tell those that watch."""
        self._state = dict.fromkeys(self._state, state)
        for watcher in list(self._watchers):
            watcher.tell()


def _service(data: bytes) -> str:
    """The field `service` (1, string) of a HealthCheckRequest; other fields are skipped."""
    at, name = 0, ""
    try:
        while at < len(data):
            tag, at = _varint(data, at)
            if tag & 7 == 0:
                _, at = _varint(data, at)
            elif tag & 7 == 2:
                size, at = _varint(data, at)
                if at + size > len(data):
                    raise IndexError
                if tag >> 3 == 1:
                    name = data[at : at + size].decode()
                at += size
            elif tag & 7 in (1, 5):
                at += 8 if tag & 7 == 1 else 4
            else:
                raise IndexError
    except (IndexError, UnicodeDecodeError) as problem:
        raise grpc.CallFault(grpc.Status.INVALID_ARGUMENT, "no HealthCheckRequest") from problem
    return name


def _varint(data: bytes, at: int) -> tuple[int, int]:
    value = shift = 0
    while True:
        byte = data[at]
        value |= (byte & 0x7F) << shift
        at, shift = at + 1, shift + 7
        if byte < 0x80:
            return value, at
        if shift > 63:
            raise IndexError


def _message(state: Serving) -> bytes:
    return bytes((0x08, state)) if state else b""


class _Check:
    __slots__ = ("_call", "_health")

    def __init__(self, health: Health, call: Call) -> None:
        self._health, self._call = health, call

    def message(self, data: bytes) -> None:
        state = self._health.state(_service(data))
        if state is None:
            raise grpc.CallFault(grpc.Status.NOT_FOUND, "no such service")
        self._call.finish(_message(state))

    def half_closed(self) -> None:
        raise grpc.CallFault(grpc.Status.INVALID_ARGUMENT, "a check without a message")

    def gone(self) -> None:
        """Nothing is held for it."""


class _Watch:
    def __init__(self, health: Health, call: Call) -> None:
        self._health, self._call, self._name, self._told = health, call, None, None

    def message(self, data: bytes) -> None:
        if self._name is not None:
            raise grpc.CallFault(grpc.Status.INVALID_ARGUMENT, "one message a watch")
        if len(self._health._watchers) >= self._health.most_watchers:
            raise grpc.CallFault(grpc.Status.RESOURCE_EXHAUSTED, "too many watch")
        self._name = _service(data)
        self._health._watchers.add(self)
        self.tell()

    def tell(self) -> None:
        """Send the state where it has changed."""
        state = self._health.state(self._name)
        state = Serving.SERVICE_UNKNOWN if state is None else state
        if state is not self._told:
            self._told = state
            self._call.reply(_message(state))

    def half_closed(self) -> None:
        """A watch goes on until its client ends it."""

    def gone(self) -> None:
        self._health._watchers.discard(self)
