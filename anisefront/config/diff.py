"""Semantic differences between two settings; each routing change has a request that demonstrates it.

Whether two sets of routes treat some request differently is determined exactly: the most general request of each
pattern, and of each pair of patterns of which one was added, removed or reordered, represents all similar requests.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass

from anisefront.config.types import Config
from anisefront.config.values import format_rate, format_time
from anisefront.gateway.patterns import Request, common, examples, shape
from anisefront.gateway.routes import Route
from anisefront.gateway.routing import RouteIndex

MAX_COMPARED_PAIRS = 2_000_000


@dataclass(frozen=True, slots=True)
class Change:
    """One difference: its subject and the values before and after; `witness` is a request routed differently."""

    subject: str
    before: str
    after: str
    witness: Request | None = None

    def __str__(self) -> str:
        """Return the difference as `config diff` shows it."""
        shown = f"  {self.witness}" if self.witness else ""
        return f"{self.subject}: {self.before} -> {self.after}{shown}"


def diff(before: Config, after: Config) -> list[Change]:
    """Return all semantic differences, ignoring lines that were only moved or reformatted, and names without effect."""
    return [
        *_diff_settings(before, after),
        *_diff_named("class", before.settings.classes, after.settings.classes),
        *_diff_named("plan", before.settings.plans, after.settings.plans),
        *_diff_keys(before, after),
        *_diff_other_fields(before, after),
        *diff_routes(before.routes, after.routes),
    ]


# The names of these fields in the output of `config diff`, which other programs parse.
_PRINTED_NAMES = {
    "latency_objective_ms": "aim_ms",
    "priority_weight": "worth",
    "late_priority_weight": "late_worth",
    "idempotency": "repeat",
    "deduplication_scope": "scope",
    "deduplication_window_ms": "window_ms",
    "latency_objective_stretch": "aim_stretch",
    "max_in_flight": "max_out",
    "priority_multiplier": "value",
    "over_quota_multiplier": "over_worth",
    "over_quota_cost": "over_cost",
    "slow_start_initial_factor": "cold_from",
    "overload_multiple": "fall_multiple",
    "overload_window_ms": "fall_window_ms",
    "cancellation_enabled": "may_cancel",
    "peer_messages_enabled": "may_tell",
    "probing_enabled": "may_probe",
    "hedging_enabled": "second_copies",
    "subscription_required": "must_subscribe",
    "postpaid": "settles",
    "poll_within_ms": "ask_within_ms",
    "load_report_mode": "report_how",
    "load_report_fields": "report_fields",
    "peer_message_price": "peer_price",
    "max_customers": "most_customers",
}


def _fields(value: object, excluded: tuple[str, ...] = ()) -> dict[str, object]:
    return {
        _PRINTED_NAMES.get(each.name, each.name): getattr(value, each.name)
        for each in dataclasses.fields(value)
        if each.name not in excluded
    }


def _diff_settings(before: Config, after: Config) -> Iterator[Change]:
    old, new = (_fields(config.settings, ("classes", "plans", "tag_key")) for config in (before, after))
    yield from (
        Change(name, _format_field(old[name], name), _format_field(new[name], name))
        for name in old
        if old[name] != new[name]
    )


def _diff_named(kind: str, before: tuple, after: tuple) -> Iterator[Change]:
    old, new = ({each.name: each for each in values} for values in (before, after))
    for name in sorted({*old, *new}):
        if name not in new or name not in old:
            yield Change(f"{kind} {name}", "there" if name in old else "not there", "there" if name in new else "gone")
        elif old[name] != new[name]:
            first, second = _fields(old[name]), _fields(new[name])
            for key in first:
                if first[key] != second[key]:
                    yield Change(
                        f"{kind} {name}: {key}", _format_field(first[key], key), _format_field(second[key], key)
                    )


def _format_field(value: object, name: str) -> str:
    """Format a value in the syntax of the settings language."""
    if isinstance(value, float) and name.endswith("_ms"):
        return format_time(value)
    if isinstance(value, float) and name.endswith("_per_s"):
        return format_rate(value)
    return f"{value:g}" if isinstance(value, float) else str(getattr(value, "value", value))


def _diff_keys(before: Config, after: Config) -> Iterator[Change]:
    for key in sorted({*before.keys, *after.keys}):
        old, new = before.keys.get(key), after.keys.get(key)
        if old != new:
            # The output goes to logs and reviews, and keys are secrets.
            shown = key[:2] + "..." if len(key) > 4 else "..."
            yield Change(
                f"key {shown}",
                *("not there" if each is None else f"{each.customer} on {each.plan}" for each in (old, new)),
            )


def _diff_other_fields(before: Config, after: Config) -> Iterator[Change]:
    excluded = ("settings", "routes", "keys", "secret")
    old, new = _fields(before, excluded), _fields(after, excluded)
    yield from (
        Change(name, _format_field(old[name], name), _format_field(new[name], name))
        for name in old
        if old[name] != new[name]
    )
    if before.secret != after.secret:
        yield Change("secret", "one", "another")


def _route_identity(route: Route) -> tuple:
    """Return all that determines which requests a route matches, and its outcome."""
    pattern = route.pattern
    return pattern.host, shape(pattern.path), pattern.methods, pattern.when, route.outcome


def diff_routes(before: tuple[Route, ...], after: tuple[Route, ...]) -> Iterator[Change]:
    """Find requests that are routed differently, one for each pair of old and new routes."""
    old, new = RouteIndex(before), RouteIndex(after)
    reported: set[tuple] = set()
    for request in _candidates(before, after):
        headers = dict(request.headers)
        first = old.find(request.method, request.host, request.path, headers)
        second = new.find(request.method, request.host, request.path, headers)
        outcome_before = before[first].outcome if first >= 0 else None
        outcome_after = after[second].outcome if second >= 0 else None
        if outcome_before != outcome_after and (first, second) not in reported:
            reported.add((first, second))
            yield Change("route", _format_outcome(outcome_before), _format_outcome(outcome_after), request)


def _format_outcome(outcome: tuple | None) -> str:
    if outcome is None:
        return "no route"
    name, pool, units, header = outcome
    return f"class {name} pool {pool}" + (f" units-header {header}" if header else f" units {units:g}")


def _candidates(before: tuple[Route, ...], after: tuple[Route, ...]) -> Iterator[Request]:
    old, new = [_route_identity(route) for route in before], [_route_identity(route) for route in after]
    changed = _reordered(old, new) | set(old) ^ set(new)
    if not changed:
        return
    routes_by_identity: dict[tuple, Route] = {}
    for identity, route in zip([*old, *new], [*before, *after], strict=True):
        routes_by_identity.setdefault(identity, route)
    changed_routes = [route for identity, route in routes_by_identity.items() if identity in changed]
    for route in changed_routes:
        yield from examples(route.pattern)
    for number, first in enumerate(changed_routes):
        if number * len(routes_by_identity) > MAX_COMPARED_PAIRS:
            return
        for second in routes_by_identity.values():
            yield from common(first.pattern, second.pattern)


def _reordered(old: list[tuple], new: list[tuple]) -> set[tuple]:
    """Return the routes whose order among those of one host and shape changed: the order of lines decides there."""

    def groups(identities: list[tuple]) -> dict[tuple, list[tuple]]:
        out: dict[tuple, list[tuple]] = {}
        for identity in dict.fromkeys(identities):
            out.setdefault(identity[:2], []).append(identity)
        return out

    first, second = groups(old), groups(new)
    out: set[tuple] = set()
    for key, identities in first.items():
        others = second.get(key, [])
        shared = [identity for identity in identities if identity in set(others)]
        if shared != [identity for identity in others if identity in set(identities)]:
            out.update(shared)
    return out
