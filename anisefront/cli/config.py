"""`anisefront config check|digest|fmt|diff|explain|show|migrate|reference|lsp`: thin commands over the config room."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import click

from anisefront.config import checker, formatter, loader, messages
from anisefront.config import diff as differ
from anisefront.config.checker import CheckResult
from anisefront.config.lexer import Severity
from anisefront.config.migrate import migrate as migrate_document
from anisefront.config.migrate import prepare
from anisefront.config.parser import parse
from anisefront.config.types import Config


@click.group()
def config() -> None:
    """Check, format, compare and explain settings: a file with all that it includes."""


def checked(path: str) -> CheckResult:
    """A file, loaded and checked in the environment of this process."""
    return checker.check(loader.load(path), os.environ)


def load(path: str) -> Config:
    """The settings in a file; all that is wrong goes to standard error, then exit 2."""
    found = checked(path)
    for problem in found.problems:
        if problem.severity is not Severity.NOTE:
            click.echo(messages.format_problem(found.loaded, problem), err=True)
    if found.config is None:
        sys.exit(2)
    return found.config


@config.command()
@click.argument("files", type=click.Path(), nargs=-1, required=True)
@click.option(
    "--format", "form", type=click.Choice(["text", "json"]), default="text", help="json: one list of problems."
)
@click.option("--notes", is_flag=True, help="Show notes too: where precedence decides, and the like.")
@click.option("--strict", is_flag=True, help="Exit 1 for warnings.")
def check(files: tuple[str, ...], form: str, notes: bool, strict: bool) -> None:
    """Say all that is wrong with FILES. Exit 2 for errors, 1 for warnings with --strict, else 0."""
    status, rows = 0, []
    for path in files:
        found = checked(path)
        shown = [each for each in found.problems if notes or each.severity is not Severity.NOTE]
        status = max(status, messages.exit_status(found.problems, strict))
        if form == "json":
            rows += [messages.as_json(found.loaded, problem) for problem in shown]
            continue
        for problem in shown:
            click.echo(messages.format_problem(found.loaded, problem))
        click.echo(f"{path}: {messages.summarize(shown)}")
    if form == "json":
        click.echo(json.dumps(rows, indent=2))
    sys.exit(status)


@config.command()
@click.argument("files", type=click.Path(exists=True), nargs=-1, required=True)
@click.option("--check", "only_check", is_flag=True, help="Change nothing; exit 1 if a file is not in the one style.")
def fmt(files: tuple[str, ...], only_check: bool) -> None:
    """Write FILES in the one style. A file that can't be parsed is left as it is, exit 2."""
    status = 0
    for path in files:
        text = Path(path).read_text(encoding="utf-8")
        document, problems = parse(text)
        if any(problem.severity is Severity.ERROR for problem in problems):
            found = loader.load_text(text, path)
            for problem in problems:
                click.echo(messages.format_problem(found, problem), err=True)
            status = 2
            continue
        new = formatter.format_document(document)
        if new != text:
            if only_check:
                click.echo(f"{path}: not in the one style")
                status = max(status, 1)
            else:
                Path(path).write_text(new, encoding="utf-8")
                click.echo(f"{path}: written anew")
    sys.exit(status)


@config.command()
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def diff(before: str, after: str) -> None:
    """Say what differs in meaning between BEFORE and AFTER, each change of routes with a request that shows it.

    Exit 0 if nothing does, 1 if something does, 2 if one of them can't be read."""
    changes = differ.diff(load(before), load(after))
    for change in changes:
        click.echo(str(change))
    if not changes:
        click.echo("no difference for any request, plan or fleet")
    sys.exit(1 if changes else 0)


@config.command()
@click.argument("file", type=click.Path())
@click.argument("method")
@click.argument("target")
@click.option("--header", "-H", multiple=True, help="name: value")
def explain(file: str, method: str, target: str, header: tuple[str, ...]) -> None:
    """Say which lines of FILE decide on a request: METHOD, and TARGET as host/path or /path."""
    from anisefront.config.explain import explain as explained
    from anisefront.gateway.patterns import Request

    found = checked(file)
    if found.config is None:
        load(file)
    host, slash, path = target.partition("/")
    headers = tuple(
        sorted((name.strip().lower(), value.strip()) for name, _, value in (each.partition(":") for each in header))
    )
    path = (slash + path).partition("?")[0] or "/"
    for line in explained(found, Request(method, host or "localhost", path, headers)):
        click.echo(line)


@config.command()
@click.argument("file", type=click.Path())
def digest(file: str) -> None:
    """Print the digest of FILE and what it includes: `anisefront state` shows the same where they are in force.

    A file with errors exits 2: it is taken by nobody."""
    from anisefront.config.incremental_loader import IncrementalLoader
    from anisefront.gateway.steps import run_to_end

    outcome = run_to_end(IncrementalLoader(file, os.environ).steps())
    for text in outcome.errors:
        click.echo(text, err=True)
    if outcome.config is None:
        sys.exit(2)
    click.echo(outcome.digest)


@config.command()
@click.argument("file", type=click.Path())
def show(file: str) -> None:
    """Print FILE as it counts: includes and definitions put in, with the place of each line. Secrets are not shown."""
    from anisefront.config.definitions import substitute
    from anisefront.config.parser import Directive

    found = loader.load(file)
    for directive in substitute(found.directives, [], os.environ):
        hidden = Directive(
            directive.name, directive.values[:1] if directive.name.text == "key" else directive.values, directive.block
        )
        if directive.name.text in ("secret", "key"):
            hidden.values = []
        text = formatter.format_document(type(found.sources[0].document)([hidden], [])).rstrip()
        more = " ..." if hidden.values != directive.values else ""
        click.echo(f"{text}{more}  # {found.format_location(directive.name.location)}")


@config.command()
@click.argument("file", type=click.Path(exists=True))
@click.option("--write", is_flag=True, help="Write the file anew instead of printing.")
def migrate(file: str, write: bool) -> None:
    """Turn FILE from version 1 of the language into version 2."""
    text = Path(file).read_text(encoding="utf-8")
    document, problems = parse(prepare(text))
    found = loader.load_text(text, file)
    if not problems:
        document, problems = migrate_document(document)
    for problem in problems:
        click.echo(messages.format_problem(found, problem), err=True)
    if any(problem.severity is Severity.ERROR for problem in problems):
        sys.exit(2)
    new = formatter.format_document(document)
    if write:
        Path(file).write_text(new, encoding="utf-8")
    else:
        click.echo(new, nl=False)


@config.command()
def reference() -> None:
    """Print the language reference: every directive, from the table that the checker uses."""
    from anisefront.config.reference import reference as text

    click.echo(text(), nl=False)


@config.command()
def lsp() -> None:
    """Serve an editor on standard input and output by the language server protocol (needs pygls)."""
    try:
        from anisefront.cli.editor import build
    except ImportError as problem:
        raise click.ClickException(f"{problem.name} is not installed: pip install 'anisefront[editor]'") from problem
    build().start_io()
