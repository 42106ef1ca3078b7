"""`anisefront config check|digest|fmt|diff|explain|show|migrate|reference|lsp`: commands over `anisefront.config`."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import click

from anisefront.config import checker, formatter, loader, messages
from anisefront.config import diff as settings_diff
from anisefront.config.checker import CheckResult
from anisefront.config.lexer import Severity
from anisefront.config.migrate import migrate as migrate_document
from anisefront.config.migrate import prepare
from anisefront.config.parser import parse
from anisefront.config.types import Config


@click.group()
def config() -> None:
    """Check, format, compare and explain settings: a file with all files that it includes."""


def checked(path: str) -> CheckResult:
    """Load and check a file with the environment variables of this process."""
    return checker.check(loader.load(path), os.environ)


def load(path: str) -> Config:
    """Return the settings in a file. Print errors and warnings to standard error; exit with 2 if there are errors."""
    result = checked(path)
    for problem in result.problems:
        if problem.severity is not Severity.NOTE:
            click.echo(messages.format_problem(result.loaded, problem), err=True)
    if result.config is None:
        sys.exit(2)
    return result.config


@config.command()
@click.argument("files", type=click.Path(), nargs=-1, required=True)
@click.option(
    "--format",
    "form",
    type=click.Choice(["text", "json"]),
    default="text",
    help="json prints one list of all problems.",
)
@click.option("--notes", is_flag=True, help="Show notes, too, such as where precedence between routes decides.")
@click.option("--strict", is_flag=True, help="Exit with 1 for warnings.")
def check(files: tuple[str, ...], form: str, notes: bool, strict: bool) -> None:
    """Report all problems in FILES. Exit with 2 for errors, 1 for warnings with --strict, else 0."""
    status, rows = 0, []
    for path in files:
        result = checked(path)
        shown = [problem for problem in result.problems if notes or problem.severity is not Severity.NOTE]
        status = max(status, messages.exit_status(result.problems, strict))
        if form == "json":
            rows += [messages.as_json(result.loaded, problem) for problem in shown]
            continue
        for problem in shown:
            click.echo(messages.format_problem(result.loaded, problem))
        click.echo(f"{path}: {messages.summarize(shown)}")
    if form == "json":
        click.echo(json.dumps(rows, indent=2))
    sys.exit(status)


@config.command()
@click.argument("files", type=click.Path(exists=True), nargs=-1, required=True)
@click.option("--check", "only_check", is_flag=True, help="Change nothing; exit with 1 if a file is not formatted.")
def fmt(files: tuple[str, ...], only_check: bool) -> None:
    """Format FILES in place. A file that cannot be parsed is left unchanged; then exit with 2."""
    status = 0
    for path in files:
        text = Path(path).read_text(encoding="utf-8")
        document, problems = parse(text)
        if any(problem.severity is Severity.ERROR for problem in problems):
            loaded = loader.load_text(text, path)
            for problem in problems:
                click.echo(messages.format_problem(loaded, problem), err=True)
            status = 2
            continue
        formatted = formatter.format_document(document)
        if formatted != text:
            if only_check:
                click.echo(f"{path}: not formatted")
                status = max(status, 1)
            else:
                Path(path).write_text(formatted, encoding="utf-8")
                click.echo(f"{path}: written anew")
    sys.exit(status)


@config.command()
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def diff(before: str, after: str) -> None:
    """Show the semantic differences between BEFORE and AFTER, each routing change with a request that demonstrates it.

    Exit with 0 if there are none, 1 if there are any, 2 if a file has errors."""
    changes = settings_diff.diff(load(before), load(after))
    for change in changes:
        click.echo(str(change))
    if not changes:
        click.echo("no difference for any request, plan or fleet")
    sys.exit(1 if changes else 0)


@config.command()
@click.argument("file", type=click.Path())
@click.argument("method")
@click.argument("target")
@click.option("--header", "-H", multiple=True, help="A request header, as name: value.")
def explain(file: str, method: str, target: str, header: tuple[str, ...]) -> None:
    """Show which lines of FILE apply to a request: METHOD, and TARGET as host/path or /path."""
    from anisefront.config.explain import explain as explain_request
    from anisefront.gateway.patterns import Request

    result = checked(file)
    if result.config is None:
        load(file)
    host, slash, path = target.partition("/")
    headers = tuple(
        sorted((name.strip().lower(), value.strip()) for name, _, value in (each.partition(":") for each in header))
    )
    path = (slash + path).partition("?")[0] or "/"
    for line in explain_request(result, Request(method, host or "localhost", path, headers)):
        click.echo(line)


@config.command()
@click.argument("file", type=click.Path())
def digest(file: str) -> None:
    """Print the digest of FILE and all files that it includes.

    `anisefront state` shows the same digest for an instance that has applied them. Exit with 2 if there are errors."""
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
    """Print FILE with includes and definitions expanded, and the location of each line. Secrets are not shown."""
    from anisefront.config.definitions import substitute
    from anisefront.config.parser import Directive

    loaded = loader.load(file)
    for directive in substitute(loaded.directives, [], os.environ):
        redacted = Directive(
            directive.name, directive.values[:1] if directive.name.text == "key" else directive.values, directive.block
        )
        if directive.name.text in ("secret", "key"):
            redacted.values = []
        text = formatter.format_document(type(loaded.sources[0].document)([redacted], [])).rstrip()
        ellipsis = " ..." if redacted.values != directive.values else ""
        click.echo(f"{text}{ellipsis}  # {loaded.format_location(directive.name.location)}")


@config.command()
@click.argument("file", type=click.Path(exists=True))
@click.option("--write", is_flag=True, help="Replace the file instead of printing the result.")
def migrate(file: str, write: bool) -> None:
    """Convert FILE from version 1 of the language to version 2."""
    text = Path(file).read_text(encoding="utf-8")
    document, problems = parse(prepare(text))
    loaded = loader.load_text(text, file)
    if not problems:
        document, problems = migrate_document(document)
    for problem in problems:
        click.echo(messages.format_problem(loaded, problem), err=True)
    if any(problem.severity is Severity.ERROR for problem in problems):
        sys.exit(2)
    formatted = formatter.format_document(document)
    if write:
        Path(file).write_text(formatted, encoding="utf-8")
    else:
        click.echo(formatted, nl=False)


@config.command()
def reference() -> None:
    """Print the language reference: all directives, generated from the table that the checker uses."""
    from anisefront.config.reference import reference as reference_page

    click.echo(reference_page(), nl=False)


@config.command()
def lsp() -> None:
    """Run a language server on standard input and output (needs pygls)."""
    try:
        from anisefront.cli.editor import build
    except ImportError as error:
        raise click.ClickException(f"{error.name} is not installed: pip install 'anisefront[editor]'") from error
    build().start_io()
