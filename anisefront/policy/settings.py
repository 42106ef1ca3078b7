"""The settings object of the simulator's first message, which a gatekeeper in service finds in its configuration too.

Nothing here decides anything: names and units are read, and what is missing or wrong is named.
"""

from __future__ import annotations

import math
from typing import Any

from anisefront.policy import interface as face

_REPEATS = {"retryable": face.Repeat.SAFE, "dedup": face.Repeat.KEYED, "fragile": face.Repeat.UNSAFE}


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


def _request_class(row: _Table) -> face.RequestClass:
    repeat = row.text("repeat")
    if repeat not in _REPEATS:
        raise ValueError(f"{row.path}.repeat: {repeat!r} is no kind of repeat")
    scope = row.text("keyScope", "all")
    if scope not in ("all", "zone", "cell"):
        raise ValueError(f"{row.path}.keyScope: {scope!r} is no group")
    return face.RequestClass(
        name=row.text("name"),
        aim_ms=row.number("aimMs"),
        deadline_ms=row.number("deadlineMs"),
        worth=row.number("worth", 1.0),
        repeat=_REPEATS[repeat],
        late_worth=row.number("lateWorth", 0.0),
        scope=face.Scope(scope),
        window_ms=row.number("dedupWindowMs", 0.0),
        streamed=row.flag("streamed", False),
        aim_stretch=row.number("aimStretch", 0.0),
    )


def _plan(row: _Table) -> face.Plan:
    return face.Plan(
        name=row.text("name"),
        rate_per_s=row.number("perSecond", 0.0),
        burst=row.number("storeSize", 0.0),
        max_out=int(row.number("concurrency", 0.0)),
        value=row.number("valueFactor", 1.0),
        over_worth=row.number("overWorth", 0.0),
        over_cost=row.number("overrunCost", 0.0),
        ceiling_per_s=row.number("hardRate", 0.0),
        ceiling_burst=row.number("hardBurst", 0.0),
        ceiling_slack=row.number("capSlack", 0.0),
    )


def settings_of(info: object) -> face.Settings:
    """The settings that this object holds; keys that are not known are skipped. `ValueError` names the field."""
    top = _Table(info, "info")
    rules, limits = top.table("rules"), top.table("limits")
    domain, report = top.table("domain", {}), top.table("report", {})
    prices = top.table("penalties", {})
    return face.Settings(
        gateways=int(top.number("balancers")),
        number=int(top.number("myNumber")),
        zone=top.text("locality", ""),
        classes=tuple(_request_class(row) for row in top.rows("classes")),
        plans=tuple(_plan(row) for row in top.rows("packages")),
        warm_up_ms=rules.number("warmUpMs"),
        cold_from=rules.number("coldFrom"),
        fall_multiple=rules.number("fallMultiple"),
        fall_window_ms=rules.number("tipAfterMs"),
        ask_within_ms=rules.number("askWithinMs", 10_000.0),
        max_attempts=int(limits.number("maxAttempts")),
        tick_ms=top.number("tickMs", 1.0),
        max_units=domain.number("maxUnits", 1.0),
        may_cancel=limits.flag("cancel", False),
        may_tell=limits.flag("mayTell", False),
        may_probe=limits.flag("probing", False),
        second_copies=limits.flag("secondCopies", False),
        must_subscribe=top.text("discovery", "automatic") == "subscribe",
        settles=domain.flag("postPaid", False),
        max_retry_after_ms=limits.number("maxRetryAfterMs", 0.0) if limits.flag("retryAfter", False) else 0.0,
        inbox_per_s=domain.number("inboxPerS", 0.0),
        report_how=report.text("how", "none"),
        report_fields=report.words("fields"),
        cross_zone_price=prices.number("crossZone", 0.0),
        peer_price=prices.number("peer", 0.0),
    )
