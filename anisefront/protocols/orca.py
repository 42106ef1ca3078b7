"""Load reports in the ORCA response headers: TEXT, JSON and BIN forms. Free of I/O."""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Mapping

HEADER = "endpoint-load-metrics"
BINARY_HEADER = "endpoint-load-metrics-bin"
MAX_REPORT_CHARS = 4096  # a longer one is ignored
# The field of xds.data.orca.v3.OrcaLoadReport that carries a value, by the value's name in the settings.
FIELDS = {
    "util": "cpu_utilization",
    "qps": "rps_fractional",
    "eps": "eps",
    "inflight": "named_metrics.inflight",
    "queue": "named_metrics.queue",
    "latency_ms": "named_metrics.latency_ms",
}


def decode_report(headers: Mapping[str, str]) -> dict[str, float]:
    """Return the finite values of a report by field; empty if there is no report or it is malformed."""
    text = headers.get(HEADER, "")
    if BINARY_HEADER in headers:
        text = "BIN " + headers[BINARY_HEADER]
    if not text or len(text) > MAX_REPORT_CHARS:
        return {}
    try:
        values = _decode(text)
    except (ValueError, TypeError, OverflowError, RecursionError):
        # A report is only advice, so a malformed one must not fail the response that carries it.
        return {}
    return {name: value for name, value in values.items() if math.isfinite(value)}


def _decode(text: str) -> dict[str, float]:
    form, _, body = text.partition(" ")
    if form == "TEXT":
        return _decode_text(body)
    if form == "JSON":
        return _decode_json(body)
    if form == "BIN":
        return _decode_binary(body)
    return {}


def _decode_text(body: str) -> dict[str, float]:
    values = {}
    for entry in body.split(","):
        if entry.strip():
            name, value = entry.split("=", 1)
            values[name.strip()] = float(value)
    return values


def _decode_json(body: str) -> dict[str, float]:
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError("not a JSON object")
    values: dict[str, float] = {}
    for name, value in document.items():
        if isinstance(value, dict):
            values |= {f"{name}.{key}": float(number) for key, number in value.items()}
        else:
            values[name] = float(value)
    return values


def _decode_binary(body: str) -> dict[str, float]:
    # Imported here, since not every process that decodes reports has protobuf loaded.
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    data = base64.b64decode(body + "=" * (-len(body) % 4), validate=True)
    try:
        report = OrcaLoadReport.FromString(data)
    except DecodeError as error:
        raise ValueError("not an OrcaLoadReport message") from error
    values = {
        "cpu_utilization": report.cpu_utilization,
        "rps_fractional": report.rps_fractional,
        "eps": report.eps,
    }
    values |= {f"named_metrics.{name}": value for name, value in report.named_metrics.items()}
    return values


def select_fields(report: Mapping[str, float], names: tuple[str, ...]) -> tuple[float, ...]:
    """Return the values that the settings name, in their order; empty if one is missing."""
    values = []
    for name in names:
        value = report.get(FIELDS.get(name, name))
        if value is None:
            return ()
        values.append(value)
    return tuple(values)
