"""The settings object of the simulator's first message, which a gatekeeper in service finds in its configuration too.

Nothing here decides anything: names and units are read, and what is missing or wrong is named.
"""

from __future__ import annotations

import math
from typing import Any
from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

_REPEATS = {"retryable": Idempotency.IDEMPOTENT, "dedup": Idempotency.KEYED, "fragile": Idempotency.NON_IDEMPOTENT}


class _Table:
    """A JSON object of the settings, which names the key that is missing or wrong."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise ValueError(f"{path}: an object is due")
        self.value, self.path = value, path

    def _get(self, key: str, kinds: tuple[type, ...], fallback: Any) -> Any:
        value = self.value.get(key, fallback)
        if value is None:
            raise ValueError(f"{self.path}.{key} is missing")
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise ValueError(f"{self.path}.{key}: cannot read {value!r}")
        return value

    def number(self, key: str, fallback: float | None = None) -> float:
        value = float(self._get(key, (int, float), fallback))
        if not math.isfinite(value):
            raise ValueError(f"{self.path}.{key}: cannot read {value!r}")
        return value

    def text(self, key: str, fallback: str | None = None) -> str:
        return self._get(key, (str,), fallback)

    def flag(self, key: str, fallback: bool | None = None) -> bool:
        return bool(self._get(key, (bool, int), fallback))

    def table(self, key: str, fallback: dict[str, Any] | None = None) -> _Table:
        return _Table(self._get(key, (dict,), fallback), f"{self.path}.{key}")

    def rows(self, key: str) -> list[_Table]:
        rows = self._get(key, (list,), None)
        return [_Table(row, f"{self.path}.{key}[{n}]") for n, row in enumerate(rows)]

    def words(self, key: str) -> tuple[str, ...]:
        return tuple(str(word) for word in self._get(key, (list,), []))


def _request_class(row: _Table) -> RequestClass:
    repeat = row.text("repeat")
    if repeat not in _REPEATS:
        raise ValueError(f"{row.path}.repeat: {repeat!r} is no kind of repeat")
    scope = row.text("keyScope", "all")
    if scope not in ("all", "zone", "cell"):
        raise ValueError(f"{row.path}.keyScope: {scope!r} is no group")
    return RequestClass(
        name=row.text("name"),
        latency_objective_ms=row.number("aimMs"),
        deadline_ms=row.number("deadlineMs"),
        priority_weight=row.number("worth", 1.0),
        idempotency=_REPEATS[repeat],
        late_priority_weight=row.number("lateWorth", 0.0),
        deduplication_scope=DeduplicationScope(scope),
        deduplication_window_ms=row.number("dedupWindowMs", 0.0),
        streamed=row.flag("streamed", False),
        latency_objective_stretch=row.number("aimStretch", 0.0),
    )


def _plan(row: _Table) -> Plan:
    return Plan(
        name=row.text("name"),
        rate_per_s=row.number("perSecond", 0.0),
        burst=row.number("storeSize", 0.0),
        max_in_flight=int(row.number("concurrency", 0.0)),
        priority_multiplier=row.number("valueFactor", 1.0),
        over_quota_multiplier=row.number("overWorth", 0.0),
        over_quota_cost=row.number("overrunCost", 0.0),
        ceiling_per_s=row.number("hardRate", 0.0),
        ceiling_burst=row.number("hardBurst", 0.0),
        ceiling_slack=row.number("capSlack", 0.0),
    )


def settings_of(info: object) -> Settings:
    """The settings that this object holds; keys that are not known are skipped. `ValueError` names the field."""
    top = _Table(info, "info")
    rules, limits = top.table("rules"), top.table("limits")
    domain, report = top.table("domain", {}), top.table("report", {})
    prices = top.table("penalties", {})
    return Settings(
        gateways=int(top.number("balancers")),
        number=int(top.number("myNumber")),
        zone=top.text("locality", ""),
        classes=tuple(_request_class(row) for row in top.rows("classes")),
        plans=tuple(_plan(row) for row in top.rows("packages")),
        warm_up_ms=rules.number("warmUpMs"),
        slow_start_initial_factor=rules.number("coldFrom"),
        overload_multiple=rules.number("fallMultiple"),
        overload_window_ms=rules.number("tipAfterMs"),
        poll_within_ms=rules.number("askWithinMs", 10_000.0),
        max_attempts=int(limits.number("maxAttempts")),
        tick_ms=top.number("tickMs", 1.0),
        max_units=domain.number("maxUnits", 1.0),
        cancellation_enabled=limits.flag("cancel", False),
        peer_messages_enabled=limits.flag("mayTell", False),
        probing_enabled=limits.flag("probing", False),
        hedging_enabled=limits.flag("secondCopies", False),
        subscription_required=top.text("discovery", "automatic") == "subscribe",
        postpaid=domain.flag("postPaid", False),
        max_retry_after_ms=limits.number("maxRetryAfterMs", 0.0) if limits.flag("retryAfter", False) else 0.0,
        inbox_per_s=domain.number("inboxPerS", 0.0),
        load_report_mode=report.text("how", "none"),
        load_report_fields=report.words("fields"),
        cross_zone_price=prices.number("crossZone", 0.0),
        peer_message_price=prices.number("peer", 0.0),
    )
