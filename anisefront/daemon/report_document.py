"""Conversion of typed state reports to documents with stable keys.

A key table maps each key of the document to the path of an attribute, or to the table of a nested document.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from operator import attrgetter
from typing import Any

from anisefront.gateway.request_table import RequestTable

KeyTable = Mapping[str, "str | KeyTable"]


@dataclass(frozen=True, slots=True)
class RequestTableReport:
    """Current numbers of requests and attempts of a gateway instance."""

    open_requests: int
    queued_requests: int
    attempts_in_flight: int
    concurrency_limit: float
    event_loop_late_ms: float


def report_of_request_table(table: RequestTable) -> RequestTableReport:
    """Return the current numbers of requests and attempts."""
    controller = table.controller
    return RequestTableReport(
        open_requests=table.open_requests,
        queued_requests=len(controller.admission.queue),
        attempts_in_flight=controller.concurrency_limit.in_flight,
        concurrency_limit=round(controller.concurrency_limit.limit, 2),
        event_loop_late_ms=round(table.batches.lateness_ms, 1),
    )


def to_document(report: Any, keys: KeyTable) -> dict[str, Any]:
    """Return a report as a document with the keys of a table, in their order."""
    return {
        key: attrgetter(path)(report) if isinstance(path, str) else to_document(report, path)
        for key, path in keys.items()
    }
