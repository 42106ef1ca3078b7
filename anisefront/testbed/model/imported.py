"""Import of proxy access logs as a trace: one `envoy.data.accesslog.v3.HTTPAccessLogEntry` as protobuf JSON a line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from envoy.data.accesslog.v3 import accesslog_pb2
from google.protobuf import json_format

from anisefront.policy.events import AttemptResult
from anisefront.protocols import trace
from anisefront.testbed.model.traces import Arrival, Attempt, Trace
from anisefront.upstream.attempt_results import end_from_flags

MAX_PROBLEMS = 20  # reported one by one; the rest are counted


def read(
    lines: Iterable[str], classes: dict[str, str], customer_header: str, plan: str, deadline_ms: float, key: bytes
) -> Trace:
    """Convert lines of an access log to a trace.

    `classes` maps path prefixes to classes; the longest matching prefix applies. Lines that cannot be converted are
    left out and reported by number.
    """
    out, skipped = Trace(), 0
    prefixes = sorted(classes, key=len, reverse=True)
    rows: list[tuple[float, Arrival, Attempt | None]] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        entry = accesslog_pb2.HTTPAccessLogEntry()
        try:
            json_format.Parse(line, entry, ignore_unknown_fields=True)
        except json_format.ParseError as error:
            skipped += 1
            if len(out.problems) < MAX_PROBLEMS:
                out.problems.append(f"line {number}: not an access log entry: {str(error)[:120]}")
            continue
        request, common = entry.request, entry.common_properties
        class_name = next((classes[prefix] for prefix in prefixes if request.path.startswith(prefix)), "")
        customer = request.request_headers.get(customer_header, "")
        if not class_name or not customer or not common.HasField("start_time"):
            skipped += 1
            missing = (
                "no class matches its path"
                if not class_name
                else f"no header {customer_header}"
                if not customer
                else "no start time"
            )
            if len(out.problems) < MAX_PROBLEMS:
                out.problems.append(f"line {number}: {missing}")
            continue
        at = common.start_time.ToMicroseconds() / 1000
        rows.append(
            (
                at,
                Arrival(at, trace.pseudonym(key, customer), class_name, plan, 1.0, deadline_ms, -1),
                _attempt(entry, at, class_name),
            )
        )
    if skipped:
        out.problems.append(f"{skipped} lines left out")
    rows.sort(key=lambda row: row[0])
    if rows:
        out.begin, out.end = rows[0][0], rows[-1][0]
    for at, arrival, attempt in rows:
        out.arrivals.append(replace(arrival, at=at - out.begin))
        if attempt is not None:
            out.attempts.append(replace(attempt, at=attempt.at - out.begin))
            out.answers["served" if attempt.result == "ok" else "failed"] += 1
    return out


def _attempt(entry: accesslog_pb2.HTTPAccessLogEntry, at: float, class_name: str) -> Attempt | None:
    common = entry.common_properties
    if not common.HasField("upstream_remote_address"):
        return None
    remote = common.upstream_remote_address.socket_address
    sent_at = common.time_to_first_upstream_tx_byte.ToMicroseconds() / 1000
    duration_ms = common.time_to_last_upstream_rx_byte.ToMicroseconds() / 1000 - sent_at
    flags = {field.name for field, _ in common.response_flags.ListFields()}
    result = end_from_flags(flags, entry.response.response_code.value, entry.response.response_headers).result
    return (
        Attempt(
            at + sent_at,
            f"{remote.address}:{remote.port_value}",
            class_name,
            1.0,
            result.value,
            max(0.0, duration_ms),
            0.0,
        )
        if result is not AttemptResult.DISCARDED
        else None
    )
