"""What a client's `Q.ASK` or `Q.DO` says, and the command that carries it to a worker. Free of I/O.

A command is checked whole before anybody else hears of it: one that can't be used must not touch a customer's
account, nor reach a worker, which would close a connection on it.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from anisefront.policy.settings import Idempotency, Settings
from anisefront.resp_gateway import resp

VERBS = (b"Q.ASK", b"Q.DO")
PARTS = (4, 5)  # of a command: the verb, the customer, the id, the terms, and a body or none
MOST_CUSTOMER = 1 << 33
MOST_WAIT_MS = 3_600_000  # no client waits longer
_ID = re.compile(rb"[0-9a-f]{16}\Z")
_WHOLE = re.compile(r"[0-9]{1,9}\Z")
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z")
_KEY = re.compile(r"[0-9A-Za-z._:-]{1,64}\Z")
_KNOWN = frozenset(("c", "t", "d", "k", "r", "units", "spread", "first"))


class TermsFault(ValueError):
    """A command that can't be used; the text names the part and the mend."""


@dataclass(slots=True, eq=False)
class Wanted:
    """One request of a client. Times in milliseconds."""

    id: bytes
    customer: str
    class_name: str
    latency_objective_ms: float
    plan_name: str
    wait_ms: float
    units: float
    first_gateway: int
    spread: int
    is_retry: bool
    head: bytes  # of the worker's command, up to the terms
    before: bytes  # terms before the deadline's figure, and after it
    after: bytes
    tail: bytes  # what follows the terms

    def command(self, timeout_ms: float) -> bytes:
        """The command for a worker that has `allow_ms` to answer."""
        return self.head + resp.bulk(b"%b%d%b" % (self.before, max(1, int(timeout_ms)), self.after)) + self.tail


class Reader:
    """Reads commands by the settings in force."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self._kinds = {kind.name: kind for kind in settings.classes}
        self._plans = {plan.name for plan in settings.plans}

    def read(self, parts: list[bytes]) -> Wanted:
        """The request that these parts of a command make; `TermsFault` where they make none."""
        verb = parts[0]
        if len(parts) not in PARTS:
            raise TermsFault(f"wrong number of arguments for '{verb.decode()}'")
        customer, number, terms = parts[1:4]
        if not _ID.match(customer) or int(customer, 16) >= MOST_CUSTOMER:
            raise TermsFault("customer: 16 hex digits below 2^33 are due")
        if not _ID.match(number):
            raise TermsFault("id: 16 hex digits are due")
        found: dict[str, str] = {}
        try:
            for pair in terms.decode("ascii").split(","):
                name, sign, value = pair.partition("=")
                if not sign or name in found or name not in _KNOWN:
                    raise TermsFault(f"terms: {name[:20]!r} is not known, has no value or comes twice")
                found[name] = value
        except UnicodeDecodeError as problem:
            raise TermsFault("terms: ASCII is due") from problem
        kind = self._kinds.get(found.get("c", ""))
        if kind is None:
            raise TermsFault("c: no such class")
        if (verb == b"Q.ASK") is not (kind.idempotency is Idempotency.IDEMPOTENT):
            raise TermsFault(f"c: the class {kind.name} does not go with {verb.decode()}")
        if found.get("t") not in self._plans:
            raise TermsFault("t: no such plan")
        if kind.idempotency is Idempotency.KEYED and not _KEY.match(found.get("k", "")):
            raise TermsFault("k: the class needs an idempotency key")
        wait = self._number("d", found.get("d", ""), 0.0, MOST_WAIT_MS)
        units = self._number("units", found.get("units", "1"), 0.0, self.settings.max_units)
        spread = self._whole("spread", found.get("spread", "1"), 1, self.settings.gateways)
        first = self._whole("first", found.get("first", "0"), 0, self.settings.gateways - 1)
        repeat = self._whole("r", found.get("r", "0"), 0, 1)
        mark = b"d=" + found["d"].encode()
        at = 0 if terms.startswith(mark) else terms.index(b"," + mark) + 1
        return Wanted(
            number,
            customer.decode(),
            kind.name,
            kind.latency_objective_ms,
            found["t"],
            wait,
            units,
            first,
            spread,
            bool(repeat),
            resp.array(len(parts), parts[:3]),
            terms[: at + 2],
            terms[at + len(mark) :],
            b"".join(map(resp.bulk, parts[4:])),
        )

    @staticmethod
    def _number(name: str, text: str, above: float, most: float) -> float:
        value = float(text) if _DECIMAL.match(text) else math.nan
        if not above < value <= most:
            raise TermsFault(f"{name}: a number above {above:g} and up to {most:g} is due")
        return value

    @staticmethod
    def _whole(name: str, text: str, least: int, most: int) -> int:
        value = int(text) if _WHOLE.match(text) else -1
        if not least <= value <= most:
            raise TermsFault(f"{name}: a whole number from {least} to {most} is due")
        return value


def report_row(report: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """A load report's values in the order in which the settings name them; empty where one can't be read.

    A report is advice: one that can't be read is as if none had come."""
    if not report or len(report) > resp.MOST_LINE:
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
