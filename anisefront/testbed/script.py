"""Parse day scripts, which describe traffic and faults in the syntax of the settings files. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from anisefront.config.lexer import Lexeme, Problem, problem_at
from anisefront.config.parser import Directive, parse
from anisefront.config.values import NAME, NUMBER, TEXT, TIME, WHOLE, InvalidValueError, Type, did_you_mean


@dataclass(frozen=True, slots=True)
class Fault:
    """A scheduled fault: its start, its name and its parameters."""

    at_ms: float
    name: str
    values: dict[str, Any]


@dataclass(slots=True)
class CustomerGroup:
    """A group of customers that share a plan."""

    plan: str
    count: int
    quota_fraction: float = 0.5  # mean demand of each customer, as a fraction of its quota's rate
    rate_per_s: float = 0.0  # overrides quota_fraction if not 0; for plans without a rate


@dataclass(slots=True)
class Script:
    """A parsed day script."""

    length_ms: float = 30_000.0
    seed: int = 1
    gatekeepers: int = 3
    settings: str = "gatekeeper.conf"
    workers: dict[str, Any] = field(default_factory=dict)
    customer_groups: list[CustomerGroup] = field(default_factory=list)
    mix: dict[str, float] = field(default_factory=dict)
    own_share: float = 0.3  # fraction of requests sent by JSON-RPC instead of through a proxy
    retries: int = 2
    faults: list[Fault] = field(default_factory=list)


_WORKER_OPTIONS: dict[str, Type] = {
    "cores": WHOLE,
    "service": TIME,
    "queue": WHOLE,
    "cells": WHOLE,
    "drops-repeats": TIME,
}
FAULT_PARAMETERS: dict[str, dict[str, Type]] = {
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
# Faults that set an attribute of some workers for a limited time: the attribute's name, the option that gives its
# value, the value if the option is missing, and the value to which it is reset.
WORKER_ATTRIBUTE_FAULTS: dict[str, tuple[str, str, Any, Any]] = {
    "errors": ("error_share", "share", 0.8, 0.0),
    "broken-answers": ("broken_share", "share", 0.5, 0.0),
    "slow": ("slow", "times", 4.0, 1.0),
    "silence": ("silent", "", True, False),
}


class _ScriptError(Exception):
    """A problem at one lexeme of a script."""

    def __init__(self, lexeme: Lexeme, message: str, suggestion: str = "") -> None:
        super().__init__(message)
        self.problem = problem_at(lexeme, message, suggestion)


def read(text: str) -> tuple[Script, list[Problem]]:
    """Return the parsed script and all problems found in it."""
    document, problems = parse(text)
    script = Script()
    for directive in document.directives:
        try:
            _apply(script, directive)
        except _ScriptError as error:
            problems.append(error.problem)
    return script, problems


def _read_value(lexeme: Lexeme, value_type: Type) -> Any:
    try:
        return value_type.read(lexeme)
    except InvalidValueError as error:
        raise _ScriptError(lexeme, error.message, error.suggestion) from error


def _read_options(lexemes: list[Lexeme], known: dict[str, Type]) -> dict[str, Any]:
    """Read alternating names and values of options."""
    values: dict[str, Any] = {}
    for index in range(0, len(lexemes), 2):
        if lexemes[index].text not in known:
            raise _ScriptError(
                lexemes[index],
                f"{lexemes[index].text!r} is not known here",
                did_you_mean(lexemes[index].text, list(known)),
            )
        if index + 1 >= len(lexemes):
            raise _ScriptError(lexemes[index], f"{lexemes[index].text!r} has no value")
        values[lexemes[index].text] = _read_value(lexemes[index + 1], known[lexemes[index].text])
    return values


_SINGLE_VALUE_DIRECTIVES = {
    "length": ("length_ms", TIME),
    "seed": ("seed", WHOLE),
    "gatekeepers": ("gatekeepers", WHOLE),
    "settings": ("settings", TEXT),
    "jsonrpc": ("own_share", NUMBER),
    "retries": ("retries", WHOLE),
}


def _apply(script: Script, directive: Directive) -> None:
    name, arguments = directive.name.text, directive.values
    if not arguments or directive.block is not None or not all(isinstance(value, Lexeme) for value in arguments):
        raise _ScriptError(directive.name, f"{name}: one or more plain values are required")
    if name in _SINGLE_VALUE_DIRECTIVES:
        field_name, value_type = _SINGLE_VALUE_DIRECTIVES[name]
        setattr(script, field_name, _read_value(arguments[0], value_type))
    elif name == "workers":
        script.workers = {"count": _read_value(arguments[0], WHOLE)} | _read_options(arguments[1:], _WORKER_OPTIONS)
    elif name == "customers":
        values = _read_options(arguments[1:], {"count": WHOLE, "of-quota": NUMBER, "each": NUMBER})
        script.customer_groups.append(
            CustomerGroup(
                arguments[0].text, values.get("count", 1), values.get("of-quota", 0.5), values.get("each", 0.0)
            )
        )
    elif name == "mix":
        script.mix |= _read_options(arguments, dict.fromkeys((lexeme.text for lexeme in arguments[::2]), NUMBER))
    elif name == "at":
        if len(arguments) < 2 or arguments[1].text not in FAULT_PARAMETERS:
            raise _ScriptError(arguments[-1], "at TIME TROUBLE is due", f"troubles are {', '.join(FAULT_PARAMETERS)}")
        script.faults.append(
            Fault(
                _read_value(arguments[0], TIME),
                arguments[1].text,
                _read_options(arguments[2:], FAULT_PARAMETERS[arguments[1].text]),
            )
        )
    else:
        raise _ScriptError(
            directive.name,
            f"{name!r} is not a directive of a day script",
            did_you_mean(name, [*_SINGLE_VALUE_DIRECTIVES, "workers", "customers", "mix", "at"]),
        )
