"""Structured logs: JSON lines on standard error."""

from __future__ import annotations

import sys
from typing import Any

import structlog

MAX_TRACE_CHARACTERS = 2000


def set_up(level: str = "info") -> None:
    """Configure logging: entries of this level and above, one JSON object per line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def follow_twisted() -> None:
    """Log exceptions that reach Twisted's event loop, which would otherwise go unnoticed."""
    from twisted.logger import globalLogPublisher

    globalLogPublisher.addObserver(_log_failure)


def _log_failure(event: dict[str, Any]) -> None:
    """Log the exception of a Twisted log event, if it has one."""
    failure = event.get("log_failure")
    if failure is None:
        return
    structlog.get_logger().error(
        "unhandled",
        where=event.get("log_format", ""),
        fault=failure.getErrorMessage(),
        trace=failure.getTraceback()[-MAX_TRACE_CHARACTERS:],
    )
