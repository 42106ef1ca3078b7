"""What is sent when, and by whom: from traffic and settings to requests with times. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from anisefront.config.types import Config
from anisefront.testbed.model.traces import Arrival

FRONTS = ("grpc", "jsonrpc")


class Unfit(Exception):
    """Traffic that can't be sent; the text says why, and what would mend it."""


@dataclass(frozen=True, slots=True)
class Shot:
    """One request. `at_s` is its scheduled second from the start, `left_ms` the time that its client leaves."""

    at_s: float
    front: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    class_name: str
    left_ms: float


def shots(arrivals: Sequence[Arrival], config: Config, speed: float, fronts: Sequence[str]) -> list[Shot]:
    """The requests of some traffic. Each class goes by its first route without parameters, each customer by a key of
    its own name; who carries an attempt is as recorded, where both fronts are there."""
    routes = {}
    for route in config.routes:
        if "*" not in route.pattern.path and "/:" not in route.pattern.path and not route.pattern.when:
            routes.setdefault(route.class_name, route)
    missing = sorted({each.class_name for each in arrivals} - set(routes))
    if missing:
        raise Unfit(f"class {missing[0]}: no route without parameters leads to it; add one to the settings")
    out = []
    for number, each in enumerate(arrivals):
        route = routes[each.class_name]
        front = "jsonrpc" if each.hedging_allowed else "grpc"
        if front not in fronts:
            front = fronts[0]
        headers = [
            (config.customer_header, each.customer.partition(":")[2] or each.customer),
            ("x-request-id", f"load-{number}"),
            ("x-envoy-expected-rq-timeout-ms", str(int(each.remaining_ms))),
        ]
        if route.units_header:
            headers.append((route.units_header, f"{each.units:g}"))
        if config.repeat_header and each.is_retry:
            headers.append((config.repeat_header, "1"))
        method = route.pattern.methods[0] if route.pattern.methods[0] != "*" else "GET"
        out.append(
            Shot(
                each.at / 1000 / speed,
                front,
                method,
                route.pattern.path,
                tuple(headers),
                each.class_name,
                each.remaining_ms,
            )
        )
    return out


def part(whole: Sequence[Shot], number: int, of: int) -> list[Shot]:
    """One sender's share: every so many-th, so that each burst is spread over all senders."""
    return list(whole[number::of])
