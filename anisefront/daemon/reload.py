"""What of the settings may change while a gatekeeper runs. Decides on two settings alone; free of I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anisefront.policy.settings import Settings

if TYPE_CHECKING:  # a gatekeeper of another front must not pay for these
    from anisefront.config.types import Config

# Of Config and of Settings: what is bound to sockets, to the fleet's view of us, or to what a worker can bear.
_FIXED = {
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
_FIXED_SETTINGS = {
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


def fixed(before: Config, after: Config) -> list[str]:
    """What differs that can't change while running, each with the mend; empty where all may."""
    names = [word for name, word in _FIXED.items() if getattr(before, name) != getattr(after, name)]
    names += [_FIXED_SETTINGS[name] for name in fixed_settings(before.settings, after.settings)]
    out = [f"{name!r} can't change while running: start the gatekeeper anew" for name in dict.fromkeys(names)]
    return out + moved(before.settings, after.settings)


def fixed_settings(before: Settings, after: Settings) -> list[str]:
    """The names of settings that differ and can't change while running."""
    return [name for name in _FIXED_SETTINGS if getattr(before, name) != getattr(after, name)]


def moved(before: Settings, after: Settings) -> list[str]:
    """What is said of classes and plans that were taken away or do not stand where they stood."""
    out = []
    for what in ("classes", "plans"):
        old, new = ([each.name for each in getattr(settings, what)] for settings in (before, after))
        if new[: len(old)] != old:
            # Danger: gatekeepers that have not changed yet name them to us by their places in the file.
            out.append(f"{what} {', '.join(old)} must stay in their order: add others after them, or start anew")
    return out
