"""Reader of the settings document: the object in the simulator's first message and in an instance's configuration.

The tables below are the only place that maps keys and units of the document to the fields of `settings`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from anisefront.policy.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

ROOT_PATH = "info"  # path of the document in error messages
SUBSCRIBE = "subscribe"  # discovery mode in which endpoint lists are sent to subscribers only
IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}


class _Table:
    """An object of the document. Its methods raise `ValueError` with the path of a missing or malformed key."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise ValueError(f"{path}: expected an object, got {type(value).__name__}")
        self.value = value
        self.path = path

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number."""
        value = self._get(key, (int, float), default)
        if not abs(value) <= sys.float_info.max:
            raise ValueError(f"{self.path}.{key}: {value!r} is not a finite number")
        return float(value)

    def integer(self, key: str, default: float | None = None) -> int:
        """Return a number, truncated to an integer."""
        return int(self.number(key, default))

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return self._get(key, (str,), default)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """Return a boolean, which may be given as an integer."""
        return bool(self._get(key, (bool, int), default))

    def texts(self, key: str, default: list[str] | None = None) -> tuple[str, ...]:
        """Return the items of a list as strings."""
        return tuple(str(text) for text in self._get(key, (list,), default))

    def table(self, key: str, default: dict[str, Any] | None = None) -> _Table:
        """Return a nested object."""
        return _Table(self._get(key, (dict,), default), f"{self.path}.{key}")

    def rows(self, key: str) -> list[_Table]:
        """Return the objects of a list."""
        rows = self._get(key, (list,), None)
        return [_Table(row, f"{self.path}.{key}[{index}]") for index, row in enumerate(rows)]

    def _get(self, key: str, types: tuple[type, ...], default: Any) -> Any:
        value = self.value.get(key, default)
        if value is None:
            raise ValueError(f"{self.path}.{key} is missing")
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise ValueError(f"{self.path}.{key}: invalid type of value {value!r}")
        return value


class _Key(NamedTuple):
    """The location of a settings field in the document, and its reader."""

    field: str
    section: str  # key of the containing object; empty for the document itself or a row of a list
    key: str
    read: Callable[[_Table, str, Any], Any]
    default: Any = None  # None: the key is required


def _idempotency(row: _Table, key: str, default: None) -> Idempotency:
    name = row.text(key, default)
    if name not in IDEMPOTENCY:
        raise ValueError(f"{row.path}.{key}: expected retryable, dedup or fragile, got {name!r}")
    return IDEMPOTENCY[name]


def _scope(row: _Table, key: str, default: str) -> DeduplicationScope:
    name = row.text(key, default)
    try:
        return DeduplicationScope(name)
    except ValueError:
        raise ValueError(f"{row.path}.{key}: expected all, zone or cell, got {name!r}") from None


def _request_classes(table: _Table, key: str, _: None) -> tuple[RequestClass, ...]:
    return tuple(RequestClass(**_fields({"": row}, REQUEST_CLASS_KEYS)) for row in table.rows(key))


def _plans(table: _Table, key: str, _: None) -> tuple[Plan, ...]:
    return tuple(Plan(**_fields({"": row}, PLAN_KEYS)) for row in table.rows(key))


def _subscription_required(table: _Table, key: str, default: str) -> bool:
    return table.text(key, default) == SUBSCRIBE


def _max_retry_after_ms(limits: _Table, key: str, default: float) -> float:
    """Read the maximum of the retry advice, which is 0 unless the key `retryAfter` enables retry advice."""
    return limits.number(key, default) if limits.flag("retryAfter", False) else 0.0


# Keys are read in this order, so the first malformed one determines the error.
REQUEST_CLASS_KEYS = (
    _Key("idempotency", "", "repeat", _idempotency),
    _Key("deduplication_scope", "", "keyScope", _scope, "all"),
    _Key("name", "", "name", _Table.text),
    _Key("latency_objective_ms", "", "aimMs", _Table.number),
    _Key("deadline_ms", "", "deadlineMs", _Table.number),
    _Key("priority_weight", "", "worth", _Table.number, 1.0),
    _Key("late_priority_weight", "", "lateWorth", _Table.number, 0.0),
    _Key("deduplication_window_ms", "", "dedupWindowMs", _Table.number, 0.0),
    _Key("streamed", "", "streamed", _Table.flag, False),
    _Key("latency_objective_stretch", "", "aimStretch", _Table.number, 0.0),
)
PLAN_KEYS = (
    _Key("name", "", "name", _Table.text),
    _Key("rate_per_s", "", "perSecond", _Table.number, 0.0),
    _Key("burst", "", "storeSize", _Table.number, 0.0),
    _Key("max_in_flight", "", "concurrency", _Table.integer, 0.0),
    _Key("priority_multiplier", "", "valueFactor", _Table.number, 1.0),
    _Key("over_quota_multiplier", "", "overWorth", _Table.number, 0.0),
    _Key("over_quota_cost", "", "overrunCost", _Table.number, 0.0),
    _Key("ceiling_per_s", "", "hardRate", _Table.number, 0.0),
    _Key("ceiling_burst", "", "hardBurst", _Table.number, 0.0),
    _Key("ceiling_slack", "", "capSlack", _Table.number, 0.0),
)
SETTINGS_KEYS = (
    _Key("gateways", "", "balancers", _Table.integer),
    _Key("number", "", "myNumber", _Table.integer),
    _Key("zone", "", "locality", _Table.text, ""),
    _Key("classes", "", "classes", _request_classes),
    _Key("plans", "", "packages", _plans),
    _Key("warm_up_ms", "rules", "warmUpMs", _Table.number),
    _Key("slow_start_initial_factor", "rules", "coldFrom", _Table.number),
    _Key("overload_multiple", "rules", "fallMultiple", _Table.number),
    _Key("overload_window_ms", "rules", "tipAfterMs", _Table.number),
    _Key("poll_within_ms", "rules", "askWithinMs", _Table.number, 10_000.0),
    _Key("max_attempts", "limits", "maxAttempts", _Table.integer),
    _Key("tick_ms", "", "tickMs", _Table.number, 1.0),
    _Key("max_units", "domain", "maxUnits", _Table.number, 1.0),
    _Key("cancellation_enabled", "limits", "cancel", _Table.flag, False),
    _Key("peer_messages_enabled", "limits", "mayTell", _Table.flag, False),
    _Key("probing_enabled", "limits", "probing", _Table.flag, False),
    _Key("hedging_enabled", "limits", "secondCopies", _Table.flag, False),
    _Key("subscription_required", "", "discovery", _subscription_required, "automatic"),
    _Key("postpaid", "domain", "postPaid", _Table.flag, False),
    _Key("max_retry_after_ms", "limits", "maxRetryAfterMs", _max_retry_after_ms, 0.0),
    _Key("inbox_per_s", "domain", "inboxPerS", _Table.number, 0.0),
    _Key("load_report_mode", "report", "how", _Table.text, "none"),
    _Key("load_report_fields", "report", "fields", _Table.texts, []),
    _Key("cross_zone_price", "penalties", "crossZone", _Table.number, 0.0),
    _Key("peer_message_price", "penalties", "peer", _Table.number, 0.0),
)


def read_settings(document: object) -> Settings:
    """Read the settings from a document; unknown keys are ignored.

    Args:
        document: The decoded JSON object.

    Returns:
        The settings.

    Raises:
        ValueError: A key is missing or malformed; the message has its path.
    """
    top = _Table(document, ROOT_PATH)
    sections = {
        "": top,
        "rules": top.table("rules"),
        "limits": top.table("limits"),
        "domain": top.table("domain", {}),
        "report": top.table("report", {}),
        "penalties": top.table("penalties", {}),
    }
    return Settings(**_fields(sections, SETTINGS_KEYS))


def _fields(sections: dict[str, _Table], keys: tuple[_Key, ...]) -> dict[str, Any]:
    """Read the values of these keys, by settings field."""
    return {each.field: each.read(sections[each.section], each.key, each.default) for each in keys}
