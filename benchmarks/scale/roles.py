"""Roles of a fleet: their state, their messages, the mechanism behind them, and the effects of ordinary faults.

Texts of the capacity page, and arithmetic from the plan and the constants of the code; measured figures are arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from anisefront.cluster import dissemination, primary, replication_codec, suspicion
from anisefront.cluster.member_state import ROW_FORMAT
from benchmarks.scale import subsets
from benchmarks.scale.plan import (
    CONTROL_MACHINES,
    IN_FLIGHT_S,
    PARTITION_S,
    PLAN,
    RACK_MACHINES,
    REGIONS,
    SET_SIZE,
    ZONES,
)

MISSING = "**missing**"
FAULTS = ("machines that fail in a day", "machines restarted in a day", "a rack", "a zone", "regions apart")


def short(value: float) -> str:
    """Format a value with three significant digits and separators of thousands."""
    if value == 0 or not math.isfinite(value):
        return f"{value:g}"
    digits = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{round(value, digits):,.{min(digits, 6)}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


@dataclass(frozen=True, slots=True)
class Role:
    """One role; `mechanism` names its files and classes, or says that it is missing."""

    name: str
    state: str
    messages: str
    mechanism: str


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of ordinary fault, with the machines that one occurrence takes away."""

    name: str
    gatekeepers: float
    workers: float


def faults() -> list[Fault]:
    """Return the faults in the order of `FAULTS`; the last takes no machines away."""
    gateway_fraction = PLAN.gatekeepers / PLAN.machines
    lost = [PLAN.failures_a_day, PLAN.restarts_a_day, RACK_MACHINES, PLAN.machines / ZONES, 0.0]
    return [
        Fault(name, count * gateway_fraction, count * (1 - gateway_fraction))
        for name, count in zip(FAULTS, lost, strict=True)
    ]


def unreachable_gateways() -> float:
    """Return the gateways that are unreachable from one during a partition of regions."""
    return PLAN.gatekeepers * (1 - 1 / REGIONS)


def tenants_per_gateway() -> float:
    """Return the tenants whose quotas one gateway owns."""
    return PLAN.tenants / PLAN.gatekeepers


def requests_in_flight() -> float:
    """Return the requests in flight at a gateway at the peak."""
    return PLAN.gateway_requests_per_s * IN_FLIGHT_S


def suspicion_timeout_s(period_s: float = 1.0) -> float:
    """Return the time in which a suspicion can be refuted, if enough members share it."""
    return suspicion.SUSPICION_PERIODS * math.log10(PLAN.gatekeepers) * period_s


def quota_requests_per_s() -> float:
    """Return the quota requests per second of a gateway whose local buckets hold less than one request."""
    return PLAN.gateway_requests_per_s * (1 - 1 / SET_SIZE)


ROLES = (
    Role(
        "gatekeeper",
        "settings, list of workers, members, requests in hand",
        "its clients' and workers' aside: those of the other roles",
        "`daemon/gateway_instance.py`, `gateway/request_table.py`",
    ),
    Role(
        "home of quotas",
        f"a store for each of its {short(tenants_per_gateway())} tenants",
        f"at most {short(quota_requests_per_s())} questions a second in, as many answers out, "
        "and as borrower the same again",
        "`policy/quota_owner.py`, `QuotaOwner`; while one is gone the next of its set: `policy/quota_borrower.py`, "
        "`QuotaBorrower.lender_of`, told by "
        "`daemon/membership_service.py`",
    ),
    Role(
        "keeper",
        f"records of others' requests, at most {replication_codec.MAX_RECORD_BYTES:,} bytes each, "
        f"about {short(requests_in_flight())} at a time",
        "of each request that may not simply run again: taken, sent, over, and a word for each",
        "`cluster/primary.py`, `cluster/backup.py`, `daemon/replication.py`",
    ),
    Role(
        "who tells the list",
        "all workers, as one file",
        "the whole file after each change, to each gatekeeper",
        "reading: `cluster/endpoint_file.py`, ten looks a second; on the platform `resp_gateway/discovery_watch.py`; "
        "bringing it to all: " + MISSING,
    ),
    Role(
        "who tells settings",
        "all settings, as files",
        "each change to each gatekeeper, and its word that it is in force",
        "reading what changed: `config/incremental_loader.py`, `gateway/versions.py`, `daemon/reload_scheduler.py` at "
        "SIGHUP; "
        "bringing it to all, and knowing who has which version: " + MISSING,
    ),
    Role(
        "the machines of control",
        f"settings and list for {short(PLAN.gatekeepers / CONTROL_MACHINES)} gatekeepers each",
        "see what carries a change",
        MISSING + ": nothing in the program runs on them",
    ),
    Role(
        "worker",
        "its connections",
        "requests, and the load that its answers tell",
        "`upstream/connection_pool.py`; which workers a gatekeeper knows: all of its pool; subsets: " + MISSING,
    ),
    Role(
        "client side",
        "a connection to a gatekeeper, its requests in hand",
        "its requests; a repeat where it is told to come again",
        "`frontends/`, `upstream/deduplication.py`; which gatekeeper a client goes to is its proxy's matter",
    ),
)


def count(value: float) -> str:
    """Format a count with three significant digits, one below 0.95 with two decimals."""
    return short(value) if value >= 0.95 else f"{value:.2f}".rstrip("0").rstrip(".")


def fault_effects(start_s: float | None, settings_bytes: float | None) -> list[tuple[str, list[str]]]:
    """Return the cells of each role by fault; `start_s` is measured at the plan, None if it was not."""
    failures, restarts, rack, zone, _ = faults()
    starting = f"{short(start_s)} s" if start_s is not None else "a start (not measured)"
    remaining_requests_per_s = PLAN.requests_per_s / (PLAN.gatekeepers - zone.gatekeepers)
    rack_pair_fraction = (rack.gatekeepers - 1) / (PLAN.gatekeepers - 1)
    zone_pair_fraction = (zone.gatekeepers - 1) / (PLAN.gatekeepers - 1)
    restart_text = f"{count(zone.gatekeepers)} read all at once" + (
        f": {short(zone.gatekeepers * settings_bytes / 1e6)} MB" if settings_bytes is not None else ""
    )
    per_worker = subsets.connections(subsets.SPLIT_SUBSET_SIZE, subsets.IDLE_TIMEOUTS_S[1])
    open_each = per_worker.open_there / PLAN.gatekeepers
    backup_timeout_ms = primary.BACKUP_TIMEOUT_MS
    transmissions = dissemination.RETRANSMIT_MULTIPLIER * math.ceil(math.log2(PLAN.gatekeepers + 1))
    rows = f"{ROW_FORMAT.size} bytes a row, told {transmissions} times by each"
    return [
        (
            "gatekeeper",
            [
                f"{count(failures.gatekeepers)} a day; {short(requests_in_flight())} in hand at each; "
                "out for the others after about "
                f"{short(suspicion_timeout_s())} s",
                f"{count(restarts.gatekeepers)} a day, each away for its drain and {starting}; {rows}",
                f"{count(rack.gatekeepers)} at once; each other carries "
                f"{rack.gatekeepers / (PLAN.gatekeepers - rack.gatekeepers):.1%} more",
                f"{count(zone.gatekeepers)} at once; "
                f"each other carries {short(remaining_requests_per_s)} requests a second",
                f"{count(unreachable_gateways())} unheard; serves from the workers that it can reach",
            ],
        ),
        (
            "home of quotas",
            [
                f"{count(failures.gatekeepers * tenants_per_gateway())} tenants a day without a home "
                f"for about {short(suspicion_timeout_s())} s, "
                "until it is known to be gone: where their buckets hold less than a request, nothing of theirs goes "
                "on; then the next of their set lends",
                f"{count(restarts.gatekeepers * tenants_per_gateway())} tenants a day: "
                "it says that it leaves, and the next lends "
                f"for {starting}; each new store begins with a full burst, which is beyond the quota, at most twice",
                f"{count(rack.gatekeepers * tenants_per_gateway())} tenants",
                f"{count(zone.gatekeepers * tenants_per_gateway())} tenants",
                f"for {short(PARTITION_S)} s: one on each side, see the next table",
            ],
        ),
        (
            "keeper",
            [
                f"origin goes on with another after {short(backup_timeout_ms)} ms; both lost: by chance only",
                "the same; it leaves its feeds first",
                f"{rack_pair_fraction:.2%} of what its gatekeepers had in hand loses origin and keeper",
                f"{zone_pair_fraction:.1%} of what had a name: the room is not asked there",
                f"keepers out of reach are left after {short(backup_timeout_ms)} ms; "
                "with a witness out of reach work waits",
            ],
        ),
        (
            "who tells the list",
            [
                f"{count(2 * failures.workers)} lines a day",
                f"{count(2 * restarts.workers)} lines a day, a whole list each",
                f"{count(rack.workers)} lines at once",
                f"{count(zone.workers)} lines at once",
                "each region goes by the list that it had: " + MISSING + " is who tells what it can't reach",
            ],
        ),
        (
            "who tells settings",
            [
                f"{count(failures.gatekeepers)} a day come back with old files: {MISSING} is who sees it",
                f"{count(restarts.gatekeepers)} a day, the same",
                f"{count(rack.gatekeepers)} at once",
                restart_text,
                f"{short(PARTITION_S / PLAN.change_every_s)} changes reach one region only: versions differ, "
                "nobody says so",
            ],
        ),
        (
            "the machines of control",
            [
                f"{count(PLAN.failures_a_day * CONTROL_MACHINES / PLAN.machines)} a day",
                f"{count(PLAN.restarts_a_day * CONTROL_MACHINES / PLAN.machines)} a day",
                "at most one, if they stand apart",
                f"at most one; the others tell {short(PLAN.gatekeepers / (CONTROL_MACHINES - 1))} each",
                "those of a region tell theirs only",
            ],
        ),
        (
            "worker",
            [
                f"a lost gatekeeper's connections close: {short(open_each)} of its "
                f"{short(per_worker.open_there)}; {count(failures.workers)} a day are lost themselves",
                f"{count(restarts.workers)} a day come back cold",
                f"{count(rack.workers)} lost; each other carries "
                f"{rack.workers / (PLAN.workers - rack.workers):.1%} more",
                f"{count(zone.workers)} lost; each other "
                f"carries {zone.workers / (PLAN.workers - zone.workers):.0%} more, and meets new gatekeepers",
                "sees its own region's requests only",
            ],
        ),
        (
            "client side",
            [
                f"{count(failures.gatekeepers * requests_in_flight())} requests a day in hand at a loss: "
                "carried on where keepers are "
                "on, else tried again or lost",
                "none: gatekeepers drain",
                f"{count(rack.gatekeepers * requests_in_flight())} requests",
                f"{count(zone.gatekeepers * requests_in_flight())} requests",
                "reaches its own region's gatekeepers",
            ],
        ),
    ]


# Accepted costs per event that grow with all members, workers or settings: what, where, what it grows with, and why.
# Rows may be added; the page prints them unchanged.
ACCEPTED: tuple[tuple[str, str, str, str], ...] = (
    (
        "a changed line of the list goes through all workers",
        "`policy/endpoint_registry.py`, `EndpointRegistry.update`",
        "workers, each change",
        "some ms, once in a minute or so; the module is not changed now",
    ),
    (
        "all workers are sorted every 100 ms while one warms up",
        "`policy/endpoint_registry.py`, `EndpointRegistry.end_period`",
        "workers, ten times a second",
        "not accepted for good: see the order of work",
    ),
    (
        "the whole list is read and parsed",
        "`cluster/endpoint_file.py`",
        "workers, each change",
        "not accepted for good: see the order of work",
    ),
    (
        "a further attempt looks through all workers",
        "`policy/endpoint_selection.py`, `EndpointSelection.choose`",
        "workers, each repeat",
        "few requests have one",
    ),
    (
        "rows are compared in full with one other",
        "`cluster/membership.py`, `JOIN`",
        "members, every 30 periods",
        "it heals whatever was lost; a row is small",
    ),
    (
        "a round of pings is shuffled anew",
        "`cluster/probes.py`, `ProbeOrder.next`",
        "members, once a round",
        "a round is as many periods",
    ),
    (
        "who is gone is gathered anew",
        "`daemon/membership_service.py`, `_report_unavailable`",
        "members, each change of one",
        "a row is looked at, tens of microseconds; the module is told only what has changed",
    ),
    (
        "who stands in is looked for",
        "`policy/quota_borrower.py`, `QuotaBorrower.lender_of`",
        "a tenant's set, each question to a home that is gone",
        "ends at the first that is there; through a whole wide set only where all before it are gone",
    ),
    (
        "stores are filled to the moment of a change of settings",
        "`policy/quota_owner.py`, `QuotaOwner.change_settings`",
        "tenants at home here, each change of settings",
        "few tenants have their home at one gatekeeper",
    ),
    (
        "all files are read and hashed",
        "`config/incremental_loader.py`",
        "files, each change of settings",
        "a time stamp proves nothing; in slices between turns, tens of microseconds a file",
    ),
    (
        "the parts of all files are gone through",
        "`config/incremental_loader.py`, `gateway/route_table.py`",
        "files, each change of settings",
        "some ms in slices; what they hold is not looked at",
    ),
    (
        "all routes are put into one tuple",
        "`config/incremental_loader.py`",
        "routes, each change of settings",
        "a pointer each, under a millisecond",
    ),
    (
        "all objects are walked for cycles",
        "`daemon/collector.py`",
        "settings, once a day",
        "what changes leave goes by reference counts; one walk a day finds the rest",
    ),
    (
        "quiet tenants are looked at in turn",
        "`policy/quota_borrower.py`, `QuotaBorrower.evict_idle`",
        "tenants known here, each 100 ms",
        "a part of all, bounded",
    ),
    (
        "idle connections are swept",
        "`upstream/connection_pool.py`, `_sweep`",
        "workers with open connections, each sweep",
        "one timer for all costs less than one each",
    ),
    (
        "the longest idle connection is looked for",
        "`upstream/connection_pool.py`, `ensure_capacity`",
        "workers with open connections, each new one at the cap",
        "only where a cap is set",
    ),
)

# Why a prediction was off by more than a quarter, by axis ("" for any) and measure.
_ROWS_IN_FULL = "all rows go once in 30 periods, of all six at about the same moment: a window holds it or does not"
_FEW_REQUESTS = "the window's few slowest requests, one or two a gatekeeper"
_DIFFERENCE = "a small difference of two windows with requests, whose own spread is as large"
EXPLANATIONS: dict[tuple[str, str], str] = {
    ("", "members_in_bytes_s"): _ROWS_IN_FULL,
    ("", "members_out_bytes_s"): _ROWS_IN_FULL,
    ("", "added_p999_ms"): _FEW_REQUESTS,
    ("", "wait_max_ms"): _FEW_REQUESTS,
    ("", "change_cpu_ms"): _DIFFERENCE,
}


def explanation(axis: str, measure: str) -> str:
    """Return why a prediction was off, "" if that is not known."""
    return EXPLANATIONS.get((axis, measure)) or EXPLANATIONS.get(("", measure), "")


# Areas that the scale run does not cover.
UNMEASURED: tuple[tuple[str, str], ...] = (
    ("keepers beside 850 gatekeepers", "off in the scale run; their cost a request stands in measurements.md"),
    ("networks: distance, loss and bandwidth between machines", "all is over the loopback of one machine"),
    ("TLS, and handshakes' CPU", "counted by arithmetic, not run"),
    ("workers' own limits of connections", "not known; the plan names none"),
    ("regions apart between processes", "the module in simulated time; a zone's cut in the run of all axes"),
    ("what would carry settings", "arithmetic; nothing of it is built"),
    ("an hour or a day at full size", "the run of all axes takes five minutes"),
)
