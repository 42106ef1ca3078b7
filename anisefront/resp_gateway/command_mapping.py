"""Mapping of the platform's `Q.ASK` and `Q.DO` commands to requests, and of requests to worker commands. No I/O.

A command is validated completely before it has any effect: an invalid one must neither be charged to a customer's quota
nor reach a worker, which would close the connection.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from anisefront.policy.settings import Idempotency, RequestClass, Settings
from anisefront.resp_gateway import resp_codec
from anisefront.resp_gateway.errors import InvalidCommandError

IDEMPOTENT_VERB = b"Q.ASK"  # for idempotent classes; `Q.DO` for all others
REQUEST_VERBS = (IDEMPOTENT_VERB, b"Q.DO")
COMMAND_LENGTHS = (4, 5)  # the verb, the customer, the request id, the terms, and a body or none
CUSTOMER_ID_LIMIT = 1 << 33  # exclusive
MAX_TIMEOUT_MS = 3_600_000

# Names of the terms in the protocol.
CLASS = "c"
PLAN = "t"
TIMEOUT_MS = "d"
IDEMPOTENCY_KEY = "k"
IS_RETRY = "r"
UNITS = "units"
SPREAD = "spread"
FIRST_GATEWAY = "first"
TERMS = frozenset((CLASS, PLAN, TIMEOUT_MS, IDEMPOTENCY_KEY, IS_RETRY, UNITS, SPREAD, FIRST_GATEWAY))

_ID = re.compile(rb"[0-9a-f]{16}\Z")
_INTEGER = re.compile(r"[0-9]{1,9}\Z")
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z")
_KEY = re.compile(r"[0-9A-Za-z._:-]{1,64}\Z")
_MAX_QUOTED = 20  # characters of a term's name in an error reply


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A validated request of a client.

    The worker command is stored encoded, in the parts around the timeout that each attempt fills in.
    """

    id: bytes
    customer: str
    class_name: str
    latency_objective_ms: float
    plan_name: str
    timeout_ms: float
    units: float
    first_gateway: int
    spread: int
    is_retry: bool
    command_start: bytes  # the worker command up to the terms
    terms_before_timeout: bytes
    terms_after_timeout: bytes
    body: bytes  # the worker command after the terms

    def worker_command(self, timeout_ms: float) -> bytes:
        """Encode the command for a worker that has `timeout_ms` to reply."""
        timeout = max(1, int(timeout_ms))
        terms = b"%b%d%b" % (self.terms_before_timeout, timeout, self.terms_after_timeout)
        return self.command_start + resp_codec.encode_bulk(terms) + self.body


class CommandMapper:
    """Maps commands to requests by the settings in force."""

    def __init__(self, settings: Settings) -> None:
        """Index the settings' classes and plans."""
        self.settings = settings
        self._classes = {each.name: each for each in settings.classes}
        self._plans = {plan.name for plan in settings.plans}

    def to_request(self, parts: list[bytes]) -> ClientRequest:
        """Validate a command, given as its parts, and return its request.

        Raises:
            InvalidCommandError: The command can't be used.
        """
        verb = parts[0]
        if len(parts) not in COMMAND_LENGTHS:
            raise InvalidCommandError(f"wrong number of arguments for '{verb.decode()}'")
        customer = parts[1]
        request_id = parts[2]
        encoded_terms = parts[3]
        _check_ids(customer, request_id)
        terms = _parse_terms(encoded_terms)
        request_class = self._class_of(verb, terms)
        timeout_ms = _decimal(TIMEOUT_MS, terms.get(TIMEOUT_MS, ""), 0.0, MAX_TIMEOUT_MS)
        units = _decimal(UNITS, terms.get(UNITS, "1"), 0.0, self.settings.max_units)
        spread = _integer(SPREAD, terms.get(SPREAD, "1"), 1, self.settings.gateways)
        first_gateway = _integer(FIRST_GATEWAY, terms.get(FIRST_GATEWAY, "0"), 0, self.settings.gateways - 1)
        is_retry = _integer(IS_RETRY, terms.get(IS_RETRY, "0"), 0, 1)
        timeout_start = _find_value(encoded_terms, TIMEOUT_MS, terms[TIMEOUT_MS])
        timeout_end = timeout_start + len(terms[TIMEOUT_MS])
        return ClientRequest(
            request_id,
            customer.decode(),
            request_class.name,
            request_class.latency_objective_ms,
            terms[PLAN],
            timeout_ms,
            units,
            first_gateway,
            spread,
            bool(is_retry),
            resp_codec.encode_array_start(len(parts), parts[:3]),
            encoded_terms[:timeout_start],
            encoded_terms[timeout_end:],
            b"".join(map(resp_codec.encode_bulk, parts[4:])),
        )

    def _class_of(self, verb: bytes, terms: dict[str, str]) -> RequestClass:
        """Return the request's class; check that verb, plan and idempotency key are valid for it."""
        request_class = self._classes.get(terms.get(CLASS, ""))
        if request_class is None:
            raise InvalidCommandError("no such class", CLASS)
        if (verb == IDEMPOTENT_VERB) is not (request_class.idempotency is Idempotency.IDEMPOTENT):
            raise InvalidCommandError(f"the class {request_class.name} does not go with {verb.decode()}", CLASS)
        if terms.get(PLAN) not in self._plans:
            raise InvalidCommandError("no such plan", PLAN)
        if request_class.idempotency is Idempotency.KEYED and not _KEY.match(terms.get(IDEMPOTENCY_KEY, "")):
            raise InvalidCommandError("the class needs an idempotency key", IDEMPOTENCY_KEY)
        return request_class


def _check_ids(customer: bytes, request_id: bytes) -> None:
    if not _ID.match(customer) or int(customer, 16) >= CUSTOMER_ID_LIMIT:
        raise InvalidCommandError("16 hex digits below 2^33 are due", "customer")
    if not _ID.match(request_id):
        raise InvalidCommandError("16 hex digits are due", "id")


def _parse_terms(encoded: bytes) -> dict[str, str]:
    """Return the terms by their names in the protocol."""
    terms: dict[str, str] = {}
    try:
        pairs = encoded.decode("ascii").split(",")
    except UnicodeDecodeError as error:
        raise InvalidCommandError("ASCII is due", "terms") from error
    for pair in pairs:
        name, sign, value = pair.partition("=")
        if not sign or name in terms or name not in TERMS:
            raise InvalidCommandError(f"{name[:_MAX_QUOTED]!r} is not known, has no value or comes twice", "terms")
        terms[name] = value
    return terms


def _find_value(encoded_terms: bytes, name: str, value: str) -> int:
    """Return the position of the value of a term that is known to be present."""
    prefix = name.encode() + b"="
    term = prefix + value.encode()
    if encoded_terms.startswith(term):
        return len(prefix)
    return encoded_terms.index(b"," + term) + 1 + len(prefix)


def _decimal(name: str, text: str, above: float, maximum: float) -> float:
    value = float(text) if _DECIMAL.match(text) else math.nan
    if not above < value <= maximum:
        raise InvalidCommandError(f"a number above {above:g} and up to {maximum:g} is due", name)
    return value


def _integer(name: str, text: str, minimum: int, maximum: int) -> int:
    value = int(text) if _INTEGER.match(text) else -1
    if not minimum <= value <= maximum:
        raise InvalidCommandError(f"a whole number from {minimum} to {maximum} is due", name)
    return value


def load_report_values(report: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return a load report's values in the order of the settings' fields.

    A report is advisory: one that can't be parsed counts as none, with an empty result.
    """
    if not report or len(report) > resp_codec.MAX_REPLY_LINE_BYTES:
        return ()
    values: dict[str, float] = {}
    try:
        for pair in report.decode("ascii").split(","):
            name, _, value = pair.partition("=")
            values[name] = float(value)
    except ValueError:
        return ()
    row = tuple(values.get(name, math.nan) for name in fields)
    return row if all(0 <= value < math.inf for value in row) else ()
