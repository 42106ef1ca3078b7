"""Structured logs: JSON lines on standard error."""

from __future__ import annotations

import sys

import structlog


def set_up(level: str = "info") -> None:
    """Log entries of this level and above, one JSON object a line."""
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
    """Log exceptions that reach the event loop, which would otherwise go unnoticed."""
    from twisted.logger import globalLogPublisher

    def observe(event: dict) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            structlog.get_logger().error(
                "unhandled",
                where=event.get("log_format", ""),
                fault=failure.getErrorMessage(),
                trace=failure.getTraceback()[-2000:],
            )

    globalLogPublisher.addObserver(observe)
