"""What differs between two settings for requests, plans and fleets, each routing change with a request that shows it.

Whether two sets of routes treat some request differently is found exactly: the most general request of each pattern,
and of each pair of patterns of which one is new, gone or in another order, stands for all that it is like.
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
    """One difference: what it is about, before and after; `witness` is a request that shows a change of routes."""

    subject: str
    before: str
    after: str
    witness: Request | None = None

    def __str__(self) -> str:
        """Return the difference as `config diff` shows it."""
        shown = f"  {self.witness}" if self.witness else ""
        return f"{self.subject}: {self.before} -> {self.after}{shown}"


def diff(before: Config, after: Config) -> list[Change]:
    """All differences in meaning; none for what was only moved, renamed without effect or written otherwise."""
    return [
        *_settings(before, after),
        *_diff_named("class", before.settings.classes, after.settings.classes),
        *_diff_named("plan", before.settings.plans, after.settings.plans),
        *_keys(before, after),
        *_others(before, after),
        *routes(before.routes, after.routes),
    ]


# The names under which the command has always printed these fields; others read its output.
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


def _fields(value: object, left_out: tuple[str, ...] = ()) -> dict[str, object]:
    return {
        _PRINTED_NAMES.get(each.name, each.name): getattr(value, each.name)
        for each in dataclasses.fields(value)
        if each.name not in left_out
    }


def _settings(before: Config, after: Config) -> Iterator[Change]:
    old, new = (_fields(config.settings, ("classes", "plans", "tag_key")) for config in (before, after))
    yield from (
        Change(name, _plain(old[name], name), _plain(new[name], name)) for name in old if old[name] != new[name]
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
                    yield Change(f"{kind} {name}: {key}", _plain(first[key], key), _plain(second[key], key))


def _plain(value: object, name: str) -> str:
    """A value as it would be written in a file."""
    if isinstance(value, float) and name.endswith("_ms"):
        return format_time(value)
    if isinstance(value, float) and name.endswith("_per_s"):
        return format_rate(value)
    return f"{value:g}" if isinstance(value, float) else str(getattr(value, "value", value))


def _keys(before: Config, after: Config) -> Iterator[Change]:
    for key in sorted({*before.keys, *after.keys}):
        old, new = before.keys.get(key), after.keys.get(key)
        if old != new:
            # Danger: this goes to logs and reviews, and a key is a secret.
            shown = key[:2] + "..." if len(key) > 4 else "..."
            yield Change(
                f"key {shown}",
                *("not there" if each is None else f"{each.customer} on {each.plan}" for each in (old, new)),
            )


def _others(before: Config, after: Config) -> Iterator[Change]:
    left_out = ("settings", "routes", "keys", "secret")
    old, new = _fields(before, left_out), _fields(after, left_out)
    yield from (
        Change(name, _plain(old[name], name), _plain(new[name], name)) for name in old if old[name] != new[name]
    )
    if before.secret != after.secret:
        yield Change("secret", "one", "another")


def _kind(route: Route) -> tuple:
    pattern = route.pattern
    return pattern.host, shape(pattern.path), pattern.methods, pattern.when, route.outcome


def routes(before: tuple[Route, ...], after: tuple[Route, ...]) -> Iterator[Change]:
    """Requests that go elsewhere, one for each pair of routes that changes places."""
    old, new = RouteIndex(before), RouteIndex(after)
    told: set[tuple] = set()
    for request in _candidates(before, after):
        headers = dict(request.headers)
        first = old.find(request.method, request.host, request.path, headers)
        second = new.find(request.method, request.host, request.path, headers)
        was = before[first].outcome if first >= 0 else None
        now = after[second].outcome if second >= 0 else None
        if was != now and (first, second) not in told:
            told.add((first, second))
            yield Change("route", _outcome(was), _outcome(now), request)


def _outcome(outcome: tuple | None) -> str:
    if outcome is None:
        return "no route"
    name, pool, units, header = outcome
    return f"class {name} pool {pool}" + (f" units-header {header}" if header else f" units {units:g}")


def _candidates(before: tuple[Route, ...], after: tuple[Route, ...]) -> Iterator[Request]:
    old, new = [_kind(route) for route in before], [_kind(route) for route in after]
    changed = _reordered(old, new) | set(old) ^ set(new)
    if not changed:
        return
    every: dict[tuple, Route] = {}
    for kind, route in zip([*old, *new], [*before, *after], strict=True):
        every.setdefault(kind, route)
    moved = [route for kind, route in every.items() if kind in changed]
    for route in moved:
        yield from examples(route.pattern)
    for number, first in enumerate(moved):
        if number * len(every) > MAX_COMPARED_PAIRS:
            return
        for second in every.values():
            yield from common(first.pattern, second.pattern)


def _reordered(old: list[tuple], new: list[tuple]) -> set[tuple]:
    """Kinds whose order among those of one host and shape is another: there, lines decide."""

    def groups(kinds: list[tuple]) -> dict[tuple, list[tuple]]:
        out: dict[tuple, list[tuple]] = {}
        for kind in dict.fromkeys(kinds):
            out.setdefault(kind[:2], []).append(kind)
        return out

    first, second = groups(old), groups(new)
    out: set[tuple] = set()
    for key, kinds in first.items():
        others = second.get(key, [])
        shared = [kind for kind in kinds if kind in set(others)]
        if shared != [kind for kind in others if kind in set(kinds)]:
            out.update(shared)
    return out
