"""Types of values and their units.

Each type has a name for messages, a function that parses a lexeme or raises `InvalidValueError`, and an example for the
reference page. Times and rates are formatted without loss, so that parsing the result gives the same value.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from difflib import get_close_matches
from fractions import Fraction
from typing import Any

from anisefront.config.lexer import Lexeme
from anisefront.gateway.errors import AmbiguousPathError
from anisefront.gateway.paths import normalize_target


class InvalidValueError(Exception):
    """A lexeme is not a valid value of the type."""

    def __init__(self, message: str, suggestion: str = "") -> None:
        """Create the error with a message and a suggestion."""
        super().__init__(message)
        self.message = message
        self.suggestion = suggestion


def did_you_mean(text: str, choices: Iterable[str]) -> str:
    """Return a suggestion for a misspelled name; "" if no choice is similar."""
    found = get_close_matches(text.lower(), {choice.lower(): choice for choice in choices}, 1, 0.6)
    return f"did you mean {next(c for c in choices if c.lower() == found[0])!r}?" if found else ""


@dataclass(frozen=True, slots=True)
class Type:
    """A type of values."""

    name: str
    read: Callable[[Lexeme], Any]
    example: str


_QUANTITY = re.compile(r"([+-]?\d+(?:\.\d+)?)(.*)\Z", re.S)
TIME_UNITS = {
    "us": Fraction(1, 1000),
    "ms": Fraction(1),
    "s": Fraction(1000),
    "min": Fraction(60_000),
    "h": Fraction(3_600_000),
    "d": Fraction(86_400_000),
}
RATE_PERIODS = {"s": Fraction(1), "min": Fraction(60), "h": Fraction(3600), "d": Fraction(86_400)}
SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "kB": 10**3, "MB": 10**6, "GB": 10**9}
MAX_DIGITS = 24
_RATE_SUBJECTS = ("", "requests", "request", "units", "unit", "datagrams", "datagram")


def _split_number(lexeme: Lexeme, type_name: str) -> tuple[Fraction, str]:
    """Split a quantity into its number and its unit, which may be empty."""
    match = _QUANTITY.match(lexeme.text)
    if not match or not lexeme.text.isascii():
        raise InvalidValueError(f"{lexeme.text[:60]!r} is no {type_name}")
    if match[1].startswith("-"):
        raise InvalidValueError(f"{lexeme.text[:60]!r} is below nothing")
    if len(match[1]) > MAX_DIGITS:
        # Converting thousands of digits takes long, and Python raises an exception for still more.
        raise InvalidValueError(f"{lexeme.text[:20]!r}... has {len(match[1])} digits, at most {MAX_DIGITS}")
    return Fraction(match[1]), match[2].strip()


def _read_time(lexeme: Lexeme) -> float:
    number, unit = _split_number(lexeme, "time")
    if unit not in TIME_UNITS:
        suggestion = (
            f"write {lexeme.text}ms or {lexeme.text}s"
            if not unit
            else did_you_mean(unit, TIME_UNITS) or f"units: {', '.join(TIME_UNITS)}"
        )
        raise InvalidValueError(
            f"{lexeme.text[:60]!r} has no unit of time" if not unit else f"{unit[:20]!r} is no unit of time", suggestion
        )
    return float(number * TIME_UNITS[unit])


def _read_rate(lexeme: Lexeme) -> float:
    number, rest = _split_number(lexeme, "rate")
    counted, slash, period = rest.partition("/")
    if not slash or counted.strip() not in _RATE_SUBJECTS or period.strip() not in RATE_PERIODS:
        number_text = lexeme.text if not rest else lexeme.text[: len(lexeme.text) - len(rest)].strip()
        message = "has no unit of rate" if not rest else "is no rate"
        raise InvalidValueError(f"{lexeme.text[:60]!r} {message}", f"write {number_text}/s or {number_text}/min")
    return float(number / RATE_PERIODS[period.strip()])


def _read_size(lexeme: Lexeme) -> int:
    number, unit = _split_number(lexeme, "size")
    if unit not in SIZE_UNITS:
        suggestion = (
            f"write {lexeme.text}KiB or {lexeme.text}MiB"
            if not unit
            else did_you_mean(unit, SIZE_UNITS) or f"units: {', '.join(SIZE_UNITS)}"
        )
        message = f"{unit[:20]!r} is no unit of size" if unit else f"{lexeme.text[:60]!r} has no unit of size"
        raise InvalidValueError(message, suggestion)
    return int(number * SIZE_UNITS[unit])


def _read_share(lexeme: Lexeme) -> float:
    number, unit = _split_number(lexeme, "share")
    if unit not in ("", "%"):
        raise InvalidValueError(f"{lexeme.text[:60]!r} is no share", "write 20% or 0.2")
    share = number / 100 if unit else number
    if share > 1:
        raise InvalidValueError(
            f"{lexeme.text[:60]!r} is more than the whole", f"did you mean {lexeme.text}%?" if not unit else ""
        )
    return float(share)


def _read_number(lexeme: Lexeme) -> float:
    number, unit = _split_number(lexeme, "number")
    if unit:
        raise InvalidValueError(
            f"{lexeme.text[:60]!r} is no bare number", f"write {lexeme.text[: len(lexeme.text) - len(unit)].strip()}"
        )
    return float(number)


def _read_whole_number(lexeme: Lexeme) -> int:
    number, unit = _split_number(lexeme, "whole number")
    if unit or number.denominator != 1:
        raise InvalidValueError(f"{lexeme.text[:60]!r} is no whole number")
    if number > 10**15:
        raise InvalidValueError(f"{lexeme.text[:60]!r} is too large")
    return int(number)


_NAME = re.compile(r"[A-Za-z][A-Za-z0-9._-]{0,63}\Z")


def _read_name(lexeme: Lexeme) -> str:
    if not _NAME.match(lexeme.text):
        raise InvalidValueError(f"{lexeme.text[:60]!r} is no name", "a letter, then letters, digits, . _ -, at most 64")
    return lexeme.text


def _read_text(lexeme: Lexeme) -> str:
    if not lexeme.text:
        raise InvalidValueError("an empty text")
    if len(lexeme.text) > 4096 or any(ord(letter) < 32 for letter in lexeme.text):
        raise InvalidValueError("a text that is too long or holds control characters")
    return lexeme.text


def _read_header(lexeme: Lexeme) -> str:
    if not re.fullmatch(r"[a-z0-9!#$%&'*+.^_`|~-]+", lexeme.text):
        lower = lexeme.text.lower()
        is_valid = re.fullmatch(r"[a-z0-9!#$%&'*+.^_`|~-]+", lower)
        raise InvalidValueError(f"{lexeme.text[:60]!r} is no header name", f"write {lower}" if is_valid else "")
    return lexeme.text


def _read_address(lexeme: Lexeme) -> tuple[str, int]:
    host, colon, port = lexeme.text.rpartition(":")
    bare_host = host.removeprefix("[").removesuffix("]") if host.startswith("[") else host
    if not colon or not bare_host or not port.isdigit() or len(port) > 5 or int(port) > 65535:
        raise InvalidValueError(f"{lexeme.text[:60]!r} is no address", "write HOST:PORT, such as 127.0.0.1:9000")
    if ":" in bare_host:
        try:
            ipaddress.IPv6Address(bare_host)
        except ValueError:
            raise InvalidValueError(f"{lexeme.text[:60]!r} is no address", "write [IPv6]:PORT") from None
    return bare_host, int(port)


def _read_method(lexeme: Lexeme) -> str:
    if lexeme.text != "*" and not re.fullmatch(r"[A-Z][A-Z-]{0,31}", lexeme.text):
        raise InvalidValueError(
            f"{lexeme.text[:60]!r} is no method",
            f"write {lexeme.text.upper()}" if lexeme.text.isalpha() else "such as GET, or * for any",
        )
    return lexeme.text


def _read_path(lexeme: Lexeme) -> str:
    text = lexeme.text
    if not text.startswith("/"):
        raise InvalidValueError(f"{text[:60]!r} is no path", f"write /{text[:60]}")
    if "*" in text[:-1]:
        raise InvalidValueError(f"{text[:60]!r}: a * may only end a path", "use :name for one segment")
    if "?" in text or "#" in text:
        raise InvalidValueError(f"{text[:60]!r}: a query is no part of a path", f"write {text.partition('?')[0][:60]}")
    names = [part[1:] for part in text.split("/") if part.startswith(":")]
    example = text[:-1] + "x" if text.endswith("*") else text
    try:
        matched = normalize_target(example)
    except AmbiguousPathError as error:
        raise InvalidValueError(f"{text[:60]!r}: {error}; such requests are refused") from error
    if matched != example:
        raise InvalidValueError(
            f"{text[:60]!r} never matches: requests are matched in normal form",
            f"write {(matched[:-1] + '*' if text.endswith('*') else matched)[:60]}",
        )
    if any(not re.fullmatch(r"[a-z][a-z0-9_]*", name) for name in names) or len(set(names)) < len(names):
        raise InvalidValueError(
            f"{text[:60]!r}: a parameter without a name, or one name twice", "such as /stalls/:stall"
        )
    return text


def _read_host(lexeme: Lexeme) -> str:
    text = lexeme.text
    labels = text.removeprefix("*.").split(".")
    if text != "*" and not all(re.fullmatch(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?", label) for label in labels):
        raise InvalidValueError(
            f"{text[:60]!r} is no host",
            f"write {text.lower()[:60]}" if text != text.lower() else "a name, *.name for all below it, or *",
        )
    return text


def one_of(*choices: str) -> Type:
    """Return the type whose values are the given words."""

    def read(lexeme: Lexeme) -> str:
        if lexeme.text not in choices:
            raise InvalidValueError(
                f"{lexeme.text[:60]!r} is none of {', '.join(choices)}", did_you_mean(lexeme.text, choices)
            )
        return lexeme.text

    return Type(" or ".join(choices), read, choices[0])


TIME = Type("time", _read_time, "1500ms")
RATE = Type("rate", _read_rate, "12/min")
SIZE = Type("size", _read_size, "64KiB")
SHARE = Type("share", _read_share, "20%")
NUMBER = Type("number", _read_number, "1.5")
WHOLE = Type("whole number", _read_whole_number, "3")
NAME = Type("name", _read_name, "stock-view")
TEXT = Type("text", _read_text, '"a text"')
HEADER = Type("header", _read_header, "x-key")
ADDRESS = Type("address", _read_address, "127.0.0.1:9000")
METHOD = Type("method", _read_method, "GET")
PATH = Type("path", _read_path, "/stalls/:stall")
HOST = Type("host", _read_host, "*.example")
YES_OR_NO = one_of("yes", "no")


def format_time(ms: float) -> str:
    """Format a time without loss, in the largest unit that gives a whole number."""
    value = Fraction(repr(ms))
    for unit in ("h", "min", "s", "ms", "us"):
        if (value / TIME_UNITS[unit]).denominator == 1:
            return f"{value / TIME_UNITS[unit]}{unit}"
    return f"{ms!r}ms"


def format_rate(per_s: float) -> str:
    """Format a rate without loss, per second, minute or hour, whichever gives a whole number first."""
    value = Fraction(repr(per_s))
    for unit in ("s", "min", "h"):
        if (value * RATE_PERIODS[unit]).denominator == 1:
            return f"{value * RATE_PERIODS[unit]}/{unit}"
    return f"{per_s!r}/s"
