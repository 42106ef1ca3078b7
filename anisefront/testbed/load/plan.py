"""Turns traffic and settings into a schedule of requests for the senders. Performs no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from anisefront.config.types import Config
from anisefront.testbed.model.traces import Arrival

FRONTENDS = ("grpc", "jsonrpc")


class UnsupportedTrafficError(Exception):
    """The traffic can't be sent. The message says why and how to fix it."""


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """A request to send.

    Attributes:
        at_s: Scheduled time in seconds from the start.
        timeout_ms: Time until the client's deadline.
    """

    at_s: float
    frontend: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    class_name: str
    timeout_ms: float


def build_schedule(
    arrivals: Sequence[Arrival], config: Config, speed: float, frontends: Sequence[str]
) -> list[ScheduledRequest]:
    """Return the scheduled requests for the given arrivals.

    Each class uses its first route without parameters, and each customer a key equal to its name. Requests use the
    recorded frontend if it is available.
    """
    routes = {}
    for route in config.routes:
        if "*" not in route.pattern.path and "/:" not in route.pattern.path and not route.pattern.when:
            routes.setdefault(route.class_name, route)
    missing = sorted({arrival.class_name for arrival in arrivals} - set(routes))
    if missing:
        raise UnsupportedTrafficError(
            f"class {missing[0]}: no route without parameters leads to it; add one to the settings"
        )
    requests = []
    for number, arrival in enumerate(arrivals):
        route = routes[arrival.class_name]
        frontend = "jsonrpc" if arrival.hedging_allowed else "grpc"
        if frontend not in frontends:
            frontend = frontends[0]
        headers = [
            (config.customer_header, arrival.customer.partition(":")[2] or arrival.customer),
            ("x-request-id", f"load-{number}"),
            ("x-envoy-expected-rq-timeout-ms", str(int(arrival.remaining_ms))),
        ]
        if route.units_header:
            headers.append((route.units_header, f"{arrival.units:g}"))
        if config.repeat_header and arrival.is_retry:
            headers.append((config.repeat_header, "1"))
        method = route.pattern.methods[0] if route.pattern.methods[0] != "*" else "GET"
        requests.append(
            ScheduledRequest(
                arrival.at / 1000 / speed,
                frontend,
                method,
                route.pattern.path,
                tuple(headers),
                arrival.class_name,
                arrival.remaining_ms,
            )
        )
    return requests


def sender_share(schedule: Sequence[ScheduledRequest], number: int, senders: int) -> list[ScheduledRequest]:
    """Return the share of one sender: every n-th request, so that each burst is spread over all senders."""
    return list(schedule[number::senders])
