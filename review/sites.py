"""Settings of small deployments, with figures inside the ranges of the operators' site files."""

from __future__ import annotations

from typing import Any

GATEWAYS = 2


def _plan(name: str, per_s: float, burst: float) -> dict[str, Any]:
    return {
        "name": name,
        "perSecond": per_s,
        "storeSize": burst,
        "concurrency": 0,
        "hardRate": 0.0,
        "hardBurst": 0.0,
        "capSlack": 0.0,
        "overWorth": 0.0,
        "overrunCost": 1.0,
        "valueFactor": 1.0,
    }


def _class(name: str, aim_ms: float, deadline_ms: float, repeat: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "aimMs": aim_ms,
        "deadlineMs": deadline_ms,
        "lateWorth": 0.0,
        "repeat": repeat,
        "streamed": False,
        "worth": 3.0,
        "keyScope": "all",
        "dedupWindowMs": 0.0,
        **more,
    }


def _settings(classes: list[Any], plans: list[Any], rules: dict[str, float], limits: dict[str, Any]) -> dict[str, Any]:
    return {
        "azs": ["a"],
        "balancers": GATEWAYS,
        "classes": classes,
        "clients": {"marksRetry": False},
        "discovery": "automatic",
        "domain": {
            "countWaitMs": 0.0,
            "counterPrice": 0.0,
            "inboxPerS": 60.0,
            "maxUnits": 4,
            "mayCount": False,
            "postPaid": False,
            "usePeriodMs": 0.0,
        },
        "family": "gate",
        "layers": ["workers"],
        "limits": {
            "cancel": True,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500000,
            "maxRetryAfterMs": 1000.0,
            "mayTell": True,
            "openCap": 20000,
            "probing": False,
            "retryAfter": True,
            "secondCopies": True,
            "dialTimeoutMs": 250.0,
            **limits,
        },
        "locality": "a",
        "myNumber": 0,
        "packages": plans,
        "report": {"fields": ["util", "inflight"], "how": "answers"},
        "rules": {"answerSlackMs": 16.0, "askWithinMs": 10000.0, **rules},
        "skus": ["m2"],
        "tickMs": 4.0,
        "tier": 0,
        "weights": "none",
    }


def neihu_main() -> dict[str, Any]:
    """Return settings like those of `neihu-main`: classes, deadlines, rules and limits of its site file."""
    return _settings(
        [
            _class("stock-view", 1500.0, 5000.0, "retryable", worth=2.0),
            _class("pre-order", 2000.0, 5000.0, "dedup", worth=6.0, keyScope="cell", dedupWindowMs=5000.0),
        ],
        [_plan("co-op", 9.3, 21.0), _plan("market-wide", 28.0, 60.0)],
        {"coldFrom": 0.17, "drainGraceMs": 2000.0, "fallMultiple": 4.0, "tipAfterMs": 2000.0, "warmUpMs": 13000.0},
        {"connIdleMs": 15000.0, "maxAttempts": 6, "maxStreams": 32},
    )


def coop_lic_santiago() -> dict[str, Any]:
    """Return settings like those of `coop-lic-santiago`: classes, deadlines, rules and limits of its site file."""
    return _settings(
        [
            _class("seat-check", 750.0, 2000.0, "retryable"),
            _class("seat-checkout", 2000.0, 7500.0, "dedup", keyScope="zone", dedupWindowMs=15000.0),
            _class("hours-debit", 2000.0, 7500.0, "fragile", worth=2.0),
        ],
        [_plan("estandar", 2.7, 14.0), _plan("amplio", 11.0, 31.0)],
        {"coldFrom": 0.25, "drainGraceMs": 1000.0, "fallMultiple": 2.5, "tipAfterMs": 1000.0, "warmUpMs": 17000.0},
        {"connIdleMs": 30000.0, "maxAttempts": 5, "maxStreams": 100},
    )


def sapporo_main(window_ms: float) -> dict[str, Any]:
    """Return settings like those of `sapporo-main`, but for the window in which its workers drop a repeat."""
    return _settings(
        [
            _class("roster-read", 1000.0, 5000.0, "retryable"),
            _class("shift-signup", 1000.0, 4000.0, "dedup", worth=2.0, dedupWindowMs=window_ms),
        ],
        [_plan("community", 2.3, 13.0)],
        {"coldFrom": 0.23, "drainGraceMs": 250.0, "fallMultiple": 4.0, "tipAfterMs": 3000.0, "warmUpMs": 15000.0},
        {"connIdleMs": 30000.0, "maxAttempts": 4, "maxStreams": 100},
    )
