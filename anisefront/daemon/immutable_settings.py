"""Settings that can't change while a gateway instance runs, found by comparing two versions. Performs no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anisefront.policy.settings import Settings

if TYPE_CHECKING:  # the RESP gateway must not load these
    from anisefront.config.types import Config

# Directives by the field that they set. The fields determine sockets, what peers know of this gateway instance, or
# estimates of the endpoints' capacity.
IMMUTABLE_CONFIG = {
    "grpc": "listen grpc",
    "jsonrpc": "listen jsonrpc",
    "peers_listen": "listen peers",
    "peers": "peer",
    "secret": "secret",
    "roster_file": "pool",
    "embedded": "pool",
    "seed": "seed",
    "recording": "record",
    "members_ms": "members",
    "lease_ms": "keepers",
    "most_records": "keepers",
    "rooms": "peer",
    "spread": "customers spread",
    "most_connections": "limits connections",
}
IMMUTABLE_SETTINGS = {
    "gateways": "gatekeeper",
    "number": "gatekeeper",
    "zone": "gatekeeper zone",
    "warm_up_ms": "pool",
    "slow_start_initial_factor": "pool",
    "overload_multiple": "pool",
    "overload_window_ms": "pool",
    "inbox_per_s": "messages",
    "load_report_fields": "report",
}


def rejected_changes(before: Config, after: Config) -> list[str]:
    """Return a message for each difference that needs a restart; empty if the change can be applied."""
    names = [keyword for name, keyword in IMMUTABLE_CONFIG.items() if getattr(before, name) != getattr(after, name)]
    names += [IMMUTABLE_SETTINGS[name] for name in immutable_differences(before.settings, after.settings)]
    messages = [f"{name!r} can't change while running: restart the gatekeeper" for name in dict.fromkeys(names)]
    return messages + reordered(before.settings, after.settings)


def immutable_differences(before: Settings, after: Settings) -> list[str]:
    """Return the names of the controller's settings that differ and need a restart."""
    return [name for name in IMMUTABLE_SETTINGS if getattr(before, name) != getattr(after, name)]


def reordered(before: Settings, after: Settings) -> list[str]:
    """Return a message if classes were removed or reordered, and another if plans were.

    Peers that have not applied the change yet refer to them by their position in the file.
    """
    messages = []
    for what in ("classes", "plans"):
        old = [each.name for each in getattr(before, what)]
        new = [each.name for each in getattr(after, what)]
        if new[: len(old)] != old:
            messages.append(f"{what} {', '.join(old)} must stay in their order: add others after them, or restart")
    return messages
