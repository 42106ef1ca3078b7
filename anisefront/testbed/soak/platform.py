"""Parameters of the stand-in platform: settings of the gateway instances, limits, and endpoint list messages."""

from __future__ import annotations

import os
import socket
from typing import Any

INSTANCES = 4
WORKERS = 4
ZONE = "a"
CONNECTION_IDLE_MS = 2000.0
DEADLINES_MS = {"look": 1500.0, "order": 2500.0, "pay": 2500.0}
RETRY_POLICIES = {"look": "retryable", "order": "dedup", "pay": "fragile"}
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
MAX_DEADLINE_MS = 3000.0  # the platform waits for no longer deadline than this at a planned restart
KILL_GRACE_MS = 700.0


def instance_host() -> str:
    """Return the loopback address of the instances, which depends on the process id.

    No other run has it, and no outgoing connection takes a port at it.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}"


def free_port(kind: socket.SocketKind) -> int:
    """Return a port at the address of the instances that nothing listens on."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((instance_host(), 0))
        return sock.getsockname()[1]


def kill_after_ms() -> float:
    """Return the time from SIGTERM to the earliest SIGKILL."""
    return min(max(DEADLINES_MS.values()), MAX_DEADLINE_MS) + KILL_GRACE_MS


def settings(number: int) -> dict[str, Any]:
    """Return the settings of one gateway instance."""
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
                "repeat": RETRY_POLICIES[name],
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
    """Return a message with the whole endpoint list (a snapshot) or with changed rows of it."""
    return {"index": index, "snapshot": snapshot, "endpoints": rows}
