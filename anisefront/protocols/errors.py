"""Errors of the protocols package. HTTP/1.1 has its own, in `http1`."""

from __future__ import annotations


class ProtocolError(Exception):
    """Base of the errors of this package."""
