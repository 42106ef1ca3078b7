"""Load reports in the published ORCA response header: TEXT, JSON and BIN forms. Free of I/O."""

from __future__ import annotations

import base64
import binascii
import json
import math
from collections.abc import Mapping

HEADER, BINARY_HEADER = "endpoint-load-metrics", "endpoint-load-metrics-bin"
# What the module calls a value, by the field of xds.data.orca.v3.OrcaLoadReport that carries it.
FIELDS = {
    "util": "cpu_utilization",
    "qps": "rps_fractional",
    "eps": "eps",
    "inflight": "named_metrics.inflight",
    "queue": "named_metrics.queue",
    "latency_ms": "named_metrics.latency_ms",
}


def read(headers: Mapping[str, str]) -> dict[str, float]:
    """The values of a report by their published names; empty where there is none or it can't be read."""
    text = headers.get(HEADER, "")
    if BINARY_HEADER in headers:
        text = "BIN " + headers[BINARY_HEADER]
    if not text or len(text) > 4096:
        return {}
    form, _, body = text.partition(" ")
    try:
        if form == "TEXT":
            pairs = (part.split("=", 1) for part in body.split(",") if part.strip())
            return _finite({name.strip(): float(value) for name, value in pairs})
        if form == "JSON":
            return _finite(_flat(json.loads(body)))
        if form == "BIN":
            return _finite(_binary(base64.b64decode(body + "=" * (-len(body) % 4), validate=True)))
    except (ValueError, TypeError, binascii.Error, RecursionError):
        pass  # a report is advice: one that can't be read is as if none had come
    return {}


def _flat(value: object) -> dict[str, float]:
    if not isinstance(value, dict):
        raise ValueError("no object")
    out: dict[str, float] = {}
    for name, part in value.items():
        if isinstance(part, dict):
            out |= {f"{name}.{inner}": float(number) for inner, number in part.items()}
        else:
            out[name] = float(part)
    return out


def _binary(data: bytes) -> dict[str, float]:
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    try:
        report = OrcaLoadReport.FromString(data)
    except DecodeError as problem:
        raise ValueError("no OrcaLoadReport") from problem
    out = {"cpu_utilization": report.cpu_utilization, "rps_fractional": report.rps_fractional, "eps": report.eps}
    return out | {f"named_metrics.{name}": value for name, value in report.named_metrics.items()}


def _finite(values: dict[str, float]) -> dict[str, float]:
    return {name: value for name, value in values.items() if math.isfinite(value)}


def row(report: Mapping[str, float], fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values that the module was told to expect, in its order; empty where one is missing."""
    values = tuple(report.get(FIELDS.get(name, name)) for name in fields)
    return () if any(value is None for value in values) else values  # type: ignore[return-value]
