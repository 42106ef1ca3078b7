"""Parameters of the JSON-RPC method `call`: converts them to a request, or says which parameter is wrong."""

from __future__ import annotations

import base64
from typing import Any

from anisefront.frontends.errors import InvalidParamsError
from anisefront.protocols import http1
from anisefront.upstream.direct_requests import DirectRequest

MAX_REPORTED_NAME = 40  # characters
# Parameters whose values are strings, with their defaults; None: there is no default.
_STRING_PARAMS = {"method": "GET", "path": None, "host": "", "body": "", "body_base64": ""}
_HEADERS_PARAM = "headers"
# Headers of the connection between the client and this instance; an endpoint is sent those of its own connection.
_HOP_BY_HOP_HEADERS = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "te",
    "trailer",
    "host",
}


def parse_params(params: Any) -> tuple[DirectRequest, str]:
    """Convert the parameters of a call.

    Args:
        params: The `params` member of the call.

    Returns:
        The request, and the host that it is for.

    Raises:
        InvalidParamsError: A parameter is missing, unknown or wrong.
    """
    if not isinstance(params, dict):
        raise InvalidParamsError("params: an object is due")
    unknown = set(params) - {*_STRING_PARAMS, _HEADERS_PARAM}
    if unknown:
        raise InvalidParamsError(f"{sorted(unknown)[0][:MAX_REPORTED_NAME]}: not known here")
    strings = _parse_strings(params)
    headers = _parse_headers(params.get(_HEADERS_PARAM, {}))
    if not strings["path"].startswith("/"):
        raise InvalidParamsError("path: it must begin with /")
    forwarded_headers = {name: value for name, value in headers.items() if name not in _HOP_BY_HOP_HEADERS}
    try:
        body = strings["body"].encode() or base64.b64decode(strings["body_base64"], validate=True)
        http1.encode_request(strings["method"], strings["path"], forwarded_headers, body)
    except ValueError as error:
        raise InvalidParamsError(f"no request can be made of this: {error}") from error
    return DirectRequest(strings["method"], strings["path"], forwarded_headers, body), strings["host"]


def _parse_strings(params: dict[str, Any]) -> dict[str, str]:
    strings = {}
    for name, default in _STRING_PARAMS.items():
        value = params.get(name, default)
        if not isinstance(value, str):
            raise InvalidParamsError(f"{name}: a string is due")
        strings[name] = value
    return strings


def _parse_headers(headers: Any) -> dict[str, str]:
    """Return the headers with names in lower case."""
    if not isinstance(headers, dict) or not all(isinstance(value, str) for value in headers.values()):
        raise InvalidParamsError("headers: an object of strings is due")
    lower_case = {name.lower(): value for name, value in headers.items()}
    if len(lower_case) < len(headers):
        # Which of two values applies would depend on their order, and could differ between this instance, which
        # routes the request, and the endpoint, which executes it.
        duplicate = _first_duplicate(headers)
        raise InvalidParamsError(f"headers: {duplicate[:MAX_REPORTED_NAME]!r} is there twice, in different cases")
    return lower_case


def _first_duplicate(headers: dict[str, str]) -> str:
    """Return the first name, in lower case, that occurs in several cases."""
    names = [name.lower() for name in headers]
    return next(name for name in names if names.count(name) > 1)
