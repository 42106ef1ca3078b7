"""Explains the handling of a request: the lines that apply, and the routes of lower precedence. Free of I/O."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from anisefront.config.checker import CheckResult
from anisefront.config.values import format_time
from anisefront.gateway.errors import AmbiguousPathError, UnroutableRequestError
from anisefront.gateway.paths import normalize_target
from anisefront.gateway.patterns import Request, host_rank, matches, rank, shape
from anisefront.gateway.routing import Router

MAX_SHOWN_ROUTES = 5  # of those with lower precedence


def explain(checked: CheckResult, request: Request) -> list[str]:
    """Return the route and those of lower precedence, the key, plan, quota and class, each with its location."""
    lines = [f"request {request}"]
    try:
        target = normalize_target(request.path)
    except AmbiguousPathError as error:
        return [*lines, f"path    ambiguous, denied with 400: {error}"]
    if target != request.path:
        lines.append(f"path    matched and forwarded as {target}")
    request = replace(request, path=target.partition("?")[0])
    ranked = _ranked_routes(checked, request)
    if not ranked:
        return [*lines, "no route matches: denied with 404"]
    lines += _explain_route(checked, ranked)
    lines.append(_explain_class(checked, checked.config.routes[ranked[0][1]].class_name))
    return lines + _explain_customer(checked, request)


def _ranked_routes(checked: CheckResult, request: Request) -> list[tuple[Any, int, str]]:
    """Return rank, number and matched method of each matching route, in order of precedence."""
    ranked = []
    for number, route in enumerate(checked.config.routes):
        if matches(route.pattern, request):
            method = request.method if request.method in route.pattern.methods else "*"
            ranked.append((rank(route.pattern, method, number), number, method))
    return sorted(ranked)


def _explain_route(checked: CheckResult, ranked: list[tuple[Any, int, str]]) -> list[str]:
    format_location = checked.loaded.format_location
    route_entries = checked.entries.all_of("route")
    routes = checked.config.routes
    _, first, method = ranked[0]
    route = routes[first]
    lines = [
        f"route   {format_location(route_entries[first].lexeme.location)}: "
        f"{' '.join(route.pattern.methods)} {route.pattern.path} -> class {route.class_name}, pool {route.pool}"
    ]
    for _, number, other_method in ranked[1 : 1 + MAX_SHOWN_ROUTES]:
        reason = _explain_precedence(route.pattern, method, routes[number].pattern, other_method)
        lines.append(
            f"  over  {format_location(route_entries[number].lexeme.location)}: "
            f"{routes[number].pattern.path} - {reason}"
        )
    return lines


def _explain_class(checked: CheckResult, name: str) -> str:
    location = checked.loaded.format_location(checked.entries.by_name("class")[name].lexeme.location)
    request_class = next(each for each in checked.config.settings.classes if each.name == name)
    return (
        f"class   {location}: aim {format_time(request_class.latency_objective_ms)}, deadline "
        f"{format_time(request_class.deadline_ms)}, {request_class.idempotency.value}"
    )


def _explain_customer(checked: CheckResult, request: Request) -> list[str]:
    config = checked.config
    entries = checked.entries
    format_location = checked.loaded.format_location
    router = Router(
        config.routes,
        {each.name: each.deadline_ms for each in config.settings.classes},
        config.customer_header,
        config.keys,
        config.default_plan,
        config.settings.max_units,
        config.repeat_header,
    )
    try:
        mapped = router.route(request.method, request.host, request.path, dict(request.headers))
    except UnroutableRequestError as error:
        return [f"customer: denied with {error.status}, {error} (header {config.customer_header})"]
    listed = entries.by_name("key").get(dict(request.headers)[config.customer_header])
    key_location = format_location((listed or entries.single("customers")).lexeme.location)
    key_kind = "by its key" if listed else "by a key that is not listed"
    plan = entries.by_name("plan")[mapped.plan]
    quota = entries.by_name("quota")[plan.options["quota"]]
    limits = ", ".join(f"{name} {quota.lexemes[name].text}" for name in quota.options)
    retry = ", a client retry" if mapped.is_retry else ""
    return [
        f"key     {key_location}: customer {mapped.customer.partition(':')[2]}, {key_kind}",
        f"plan    {format_location(plan.lexeme.location)}: {mapped.plan}",
        f"quota   {format_location(quota.lexeme.location)}: {quota.arguments['name']}: {limits}",
        f"counts  {mapped.units:g} units, {format_time(mapped.deadline_ms)} left{retry}",
    ]


def _explain_precedence(winner: object, method: str, loser: object, other_method: str) -> str:
    """Return why one pattern has precedence over another."""
    if host_rank(winner.host) != host_rank(loser.host):
        return f"host {winner.host} is more specific than {loser.host}"
    if shape(winner.path) != shape(loser.path):
        return "the path is more specific"
    if (method == "*") != (other_method == "*"):
        return f"method {method} is named"
    if len(winner.when) != len(loser.when):
        return "it has more conditions"
    return "its line comes first"
