"""Why a request is judged as it is: the lines that decide, and those that lost. Free of I/O."""

from __future__ import annotations

from dataclasses import replace

from anisefront.config.checker import Checked
from anisefront.config.values import write_time
from anisefront.gateway.errors import AmbiguousPathError, UnroutableRequestError
from anisefront.gateway.paths import normalize_target
from anisefront.gateway.patterns import Request, host_rank, matches, rank, shape
from anisefront.gateway.routing import Router


def explain(checked: Checked, request: Request) -> list[str]:
    """Lines of text: the route and what it beat, the key, plan, quota and class, each with its place."""
    config, model, where = checked.config, checked.model, checked.load.where
    out = [f"request {request}"]
    try:
        target = normalize_target(request.path)
    except AmbiguousPathError as problem:
        return [*out, f"path    unclear, denied with 400: {problem}"]
    if target != request.path:
        out.append(f"path    judged, and sent on, as {target}")
    request = replace(request, path=target.partition("?")[0])
    entries = model.of("route")
    ranked = []
    for number, route in enumerate(config.routes):
        if matches(route.pattern, request):
            method = request.method if request.method in route.pattern.methods else "*"
            ranked.append((rank(route.pattern, method, number), number, method))
    ranked.sort()
    if not ranked:
        return [*out, "no route matches: denied with 404"]
    _, first, method = ranked[0]
    route = config.routes[first]
    out.append(
        f"route   {where(entries[first].word.place)}: {' '.join(route.pattern.methods)} {route.pattern.path} "
        f"-> class {route.class_name}, pool {route.pool}"
    )
    for _, number, other in ranked[1:6]:
        out.append(
            f"  over  {where(entries[number].word.place)}: {config.routes[number].pattern.path} - "
            f"{_why(config.routes[first].pattern, method, config.routes[number].pattern, other)}"
        )
    classes, plans, quotas = model.named("class"), model.named("plan"), model.named("quota")
    kind = next(each for each in config.settings.classes if each.name == route.class_name)
    out.append(
        f"class   {where(classes[kind.name].word.place)}: aim {write_time(kind.latency_objective_ms)}, deadline "
        f"{write_time(kind.deadline_ms)}, {kind.idempotency.value}"
    )
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
        mapped = router.map(request.method, request.host, request.path, dict(request.headers))
    except UnroutableRequestError as problem:
        return [*out, f"customer: denied with {problem.status}, {problem} (header {config.customer_header})"]
    key = dict(request.headers)[config.customer_header]
    listed = model.named("key").get(key)
    place = where((listed or model.one("customers")).word.place)
    how = "by its key" if listed else "a key that is not listed"
    out.append(f"key     {place}: customer {mapped.customer.partition(':')[2]}, {how}")
    plan = plans[mapped.plan]
    quota = quotas[plan.options["quota"]]
    out.append(f"plan    {where(plan.word.place)}: {mapped.plan}")
    limits = ", ".join(f"{name} {quota.places[name].text}" for name in quota.options)
    out.append(f"quota   {where(quota.word.place)}: {quota.arguments['name']}: {limits}")
    out.append(
        f"counts  {mapped.units:g} units, {write_time(mapped.deadline_ms)} left"
        + (", a client's repeat" if mapped.is_retry else "")
    )
    return out


def _why(winner: object, method: str, loser: object, other: str) -> str:
    if host_rank(winner.host) != host_rank(loser.host):
        return f"host {winner.host} is more particular than {loser.host}"
    if shape(winner.path) != shape(loser.path):
        return "the path is more particular"
    if (method == "*") != (other == "*"):
        return f"method {method} is named"
    if len(winner.when) != len(loser.when):
        return "it has more conditions"
    return "its line comes first"
