"""What the stand-in platform tells its gateway instances: settings, limits, and the rows of an endpoint list."""

from __future__ import annotations

import os
import socket
from typing import Any

INSTANCES = 4
WORKERS = 4
ZONE = "a"
CONNECTION_IDLE_MS = 2000.0
DEADLINES_MS = {"look": 1500.0, "order": 2500.0, "pay": 2500.0}
REPEATS = {"look": "retryable", "order": "dedup", "pay": "fragile"}
AUDITED_AS = {"look": "safe", "order": "keyed", "pay": "unsafe"}
DEDUPLICATION_MS = 8000.0
WARM_UP_MS = 4000.0
COLD_FROM = 0.3
FALL_MULTIPLE = 1.5
FALL_WINDOW_MS = 2000.0
MEMORY_MB = 96
DESCRIPTORS = 256
CEILING_PER_S = 5.0
CEILING_BURST = 10.0
CEILING_SLACK = 10.0
MAX_DEADLINE_MS = 3000.0  # a longer one counts as this at a planned restart
KILL_GRACE_MS = 700.0


def instances_host() -> str:
    """The loopback address of this run's instances; no other run has it, and no outgoing connection takes its ports."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}"


def free_port(kind: socket.SocketKind) -> int:
    """A port at the instances' address that nothing listens on."""
    with socket.socket(socket.AF_INET, kind) as link:
        link.bind((instances_host(), 0))
        return link.getsockname()[1]


def kill_after_ms() -> float:
    """How long after SIGTERM the earliest SIGKILL comes."""
    return min(max(DEADLINES_MS.values()), MAX_DEADLINE_MS) + KILL_GRACE_MS


def settings(number: int) -> dict[str, Any]:
    """The settings of one gateway instance."""
    return {
        "balancers": INSTANCES,
        "myNumber": number,
        "locality": ZONE,
        "classes": [
            {
                "name": name,
                "aimMs": deadline_ms / 2,
                "deadlineMs": deadline_ms,
                "worth": 2.0,
                "repeat": REPEATS[name],
                "keyScope": "cell",
                "dedupWindowMs": DEDUPLICATION_MS,
            }
            for name, deadline_ms in DEADLINES_MS.items()
        ],
        "packages": [
            {"name": "wide", "perSecond": 5000.0, "storeSize": 5000.0},
            {
                "name": "capped",
                "perSecond": CEILING_PER_S,
                "storeSize": CEILING_BURST,
                "hardRate": CEILING_PER_S,
                "hardBurst": CEILING_BURST,
                "capSlack": CEILING_SLACK,
            },
        ],
        "rules": {
            "warmUpMs": WARM_UP_MS,
            "coldFrom": COLD_FROM,
            "fallMultiple": FALL_MULTIPLE,
            "tipAfterMs": FALL_WINDOW_MS,
        },
        "limits": {
            "maxAttempts": 6,
            "cancel": True,
            "mayTell": True,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterMs": 1000.0,
            "connIdleMs": CONNECTION_IDLE_MS,
            "dialTimeoutMs": 333.0,
        },
        "domain": {"maxUnits": 4.0, "inboxPerS": 60.0},
        "report": {"how": "answers", "fields": ["util", "inflight"]},
    }


def endpoint_change(index: int, rows: list[dict[str, Any]], snapshot: bool) -> dict[str, Any]:
    """A list of endpoints, or a change of it."""
    return {"index": index, "snapshot": snapshot, "endpoints": rows}
