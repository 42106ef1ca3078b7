"""Generates the reference page from the table of directives. A test compares docs/operators/settings.md with it."""

from __future__ import annotations

from anisefront.config.parser import GRAMMAR
from anisefront.config.schema import LANGUAGE, REQUIRES_RESTART, SCHEMA, DirectiveSpec
from anisefront.config.values import RATE_PERIODS, SIZE_UNITS, TIME_UNITS


def reference() -> str:
    """Return the reference page in Markdown."""
    out = [
        "# Settings: every directive",
        "",
        "Written by `anisefront config reference` from the table that the checker uses. The grammar is in",
        "[config-grammar.md](../config-grammar.md), changing settings safely in [changing.md](changing.md).",
        "",
        "One directive a line; options as `name value` on the line or one a line in its block.",
        "",
        f"- Times: {', '.join(TIME_UNITS)}. Rates: a number, perhaps `requests` or `units`, then a slash and one of "
        f"{', '.join(RATE_PERIODS)}. Sizes: {', '.join(SIZE_UNITS)}. Shares: `20%` or `0.2`.",
        "- A value with a unit needs it; a bare number is an error.",
        "",
        "## Of the language",
        "",
    ]
    for name, spec in LANGUAGE.items():
        out += _describe_directive(name, spec)
    out += [
        "## Of the gatekeeper",
        "",
        f"While it runs, a gatekeeper can't change {', '.join(f'`{name}`' for name in REQUIRES_RESTART)}; "
        "classes and plans can change their figures and be added at the end.",
        "",
    ]
    for name, spec in SCHEMA.items():
        out += _describe_directive(name, spec)
    return "\n".join(out).rstrip() + "\n"


def _describe_directive(name: str, spec: DirectiveSpec) -> list[str]:
    words = " ".join(
        f"[{argument.name}...]" if argument.is_list else argument.name.upper() for argument in spec.arguments
    )
    notes = [
        text for text, applies in (("needed", spec.required), ("may stand more than once", spec.repeatable)) if applies
    ]
    out = [f"### `{f'{name} {words}'.strip()}`", "", spec.description + (f" ({'; '.join(notes)})" if notes else ""), ""]
    kinds = [f"{argument.name}: {argument.type.name}" for argument in spec.arguments]
    if kinds:
        out += [f"Words: {'; '.join(kinds)}.", ""]
    if spec.options:
        out += ["| option | value | meaning | where not given |", "| --- | --- | --- | --- |"]
        out += [
            f"| `{option}` | {each.type.name}{' list' if each.is_list else ''}, such as `{each.type.example}` | "
            f"{each.description} | {'an error' if each.required else each.default or '-'} |"
            for option, each in spec.options.items()
        ]
        out.append("")
    if spec.example:
        out += [f"    {spec.example}", ""]
    return out


def grammar() -> str:
    """Return the productions of the grammar, as docs/config-grammar.md has them."""
    return "\n".join(f"    {line}" for line in GRAMMAR) + "\n"
