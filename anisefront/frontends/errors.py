"""Errors of the frontends package."""

from __future__ import annotations


class FrontendError(Exception):
    """Base of the errors of this package."""


class InvalidParamsError(FrontendError):
    """The parameters of a JSON-RPC call can't be used. The message names the parameter."""
