"""The script of a day: traffic and troubles, one a line, in the manner of the settings files. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from anisefront.config.lexer import Lexeme, Problem, problem_at
from anisefront.config.parser import Directive, parse
from anisefront.config.values import NAME, NUMBER, TEXT, TIME, WHOLE, InvalidValueError, Type, did_you_mean


@dataclass(frozen=True, slots=True)
class Trouble:
    """One line of trouble: when it begins, what it is, its figures."""

    at_ms: float
    name: str
    values: dict[str, Any]


@dataclass(slots=True)
class Crowd:
    """The customers of one plan."""

    plan: str
    count: int
    of_quota: float = 0.5  # what each asks for on average, as a share of its quota's rate
    per_s: float = 0.0  # or so many requests a second, for plans without a rate


@dataclass(slots=True)
class Script:
    """A whole day."""

    length_ms: float = 30_000.0
    seed: int = 1
    gatekeepers: int = 3
    settings: str = "gatekeeper.conf"
    workers: dict[str, Any] = field(default_factory=dict)
    crowds: list[Crowd] = field(default_factory=list)
    mix: dict[str, float] = field(default_factory=dict)
    own_share: float = 0.3  # of tries that come by JSON-RPC
    retries: int = 2
    troubles: list[Trouble] = field(default_factory=list)


_WORKERS: dict[str, Type] = {
    "cores": WHOLE,
    "service": TIME,
    "queue": WHOLE,
    "cells": WHOLE,
    "drops-repeats": TIME,
}
TROUBLES: dict[str, dict[str, Type]] = {
    "deploy": {"over": TIME, "drain": TIME},
    "errors": {"workers": WHOLE, "share": NUMBER, "for": TIME},
    "broken-answers": {"workers": WHOLE, "share": NUMBER, "for": TIME},
    "slow": {"workers": WHOLE, "times": NUMBER, "for": TIME},
    "silence": {"workers": WHOLE, "for": TIME},
    "freeze-workers": {"workers": WHOLE, "for": TIME},
    "kill-workers": {"workers": WHOLE},
    "freeze-gatekeeper": {"number": WHOLE, "for": TIME},
    "kill-gatekeeper": {"number": WHOLE, "back-after": TIME},
    "datagrams": {"lose": NUMBER, "double": NUMBER, "for": TIME},
    "replay-datagrams": {},
    "partition": {"for": TIME},
    "preempt": {"workers": WHOLE, "notice": TIME, "for": TIME},
    "surge": {"plan": NAME, "times": NUMBER, "for": TIME},
    "logs": {"late": TIME, "doubled": NAME, "for": TIME},
    "broken-roster": {"for": TIME},
}
# Troubles that set one figure of some workers for a while: its name, the word of the line that gives it, the figure
# where there is none, and the figure afterwards.
WORKER_FIGURES: dict[str, tuple[str, str, Any, Any]] = {
    "errors": ("error_share", "share", 0.8, 0.0),
    "broken-answers": ("broken_share", "share", 0.5, 0.0),
    "slow": ("slow", "times", 4.0, 1.0),
    "silence": ("silent", "", True, False),
}


class _Fault(Exception):
    def __init__(self, word: Lexeme, what: str, mend: str = "") -> None:
        super().__init__(what)
        self.problem = problem_at(word, what, mend)


def read(text: str) -> tuple[Script, list[Problem]]:
    """The script, and all that is wrong with it."""
    document, problems = parse(text)
    script = Script()
    for directive in document.directives:
        try:
            _take(script, directive)
        except _Fault as each:
            problems.append(each.problem)
    return script, problems


def _value(word: Lexeme, wanted: Type) -> Any:
    try:
        return wanted.read(word)
    except InvalidValueError as problem:
        raise _Fault(word, problem.message, problem.suggestion) from problem


def _values(row: list[Lexeme], known: dict[str, Type]) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for at in range(0, len(row), 2):
        if row[at].text not in known:
            raise _Fault(row[at], f"{row[at].text!r} is not known here", did_you_mean(row[at].text, list(known)))
        if at + 1 >= len(row):
            raise _Fault(row[at], f"{row[at].text!r} has no value")
        values[row[at].text] = _value(row[at + 1], known[row[at].text])
    return values


_SINGLE = {
    "length": ("length_ms", TIME),
    "seed": ("seed", WHOLE),
    "gatekeepers": ("gatekeepers", WHOLE),
    "settings": ("settings", TEXT),
    "jsonrpc": ("own_share", NUMBER),
    "retries": ("retries", WHOLE),
}


def _take(script: Script, directive: Directive) -> None:
    name, rest = directive.name.text, directive.values
    if not rest or directive.block is not None or not all(isinstance(value, Lexeme) for value in rest):
        raise _Fault(directive.name, f"{name}: plain values are due")
    if name in _SINGLE:
        field_name, wanted = _SINGLE[name]
        setattr(script, field_name, _value(rest[0], wanted))
    elif name == "workers":
        script.workers = {"count": _value(rest[0], WHOLE)} | _values(rest[1:], _WORKERS)
    elif name == "customers":
        values = _values(rest[1:], {"count": WHOLE, "of-quota": NUMBER, "each": NUMBER})
        script.crowds.append(
            Crowd(rest[0].text, values.get("count", 1), values.get("of-quota", 0.5), values.get("each", 0.0))
        )
    elif name == "mix":
        script.mix |= _values(rest, dict.fromkeys((word.text for word in rest[::2]), NUMBER))
    elif name == "at":
        if len(rest) < 2 or rest[1].text not in TROUBLES:
            raise _Fault(rest[-1], "at TIME TROUBLE is due", f"troubles are {', '.join(TROUBLES)}")
        script.troubles.append(Trouble(_value(rest[0], TIME), rest[1].text, _values(rest[2:], TROUBLES[rest[1].text])))
    else:
        raise _Fault(
            directive.name,
            f"{name!r} is no line of a script",
            did_you_mean(name, [*_SINGLE, "workers", "customers", "mix", "at"]),
        )
