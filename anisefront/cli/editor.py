"""The language server: anisefront/config/editor.py over the published protocol, by `pygls`."""

from __future__ import annotations

import os

from lsprotocol import types
from pygls.lsp.server import LanguageServer
from pygls.uris import from_fs_path, to_fs_path

from anisefront.config import checker, editor, formatter, loader
from anisefront.config.checker import CheckResult
from anisefront.config.lexer import Location, Severity
from anisefront.config.parser import parse

_SEVERITY = {
    Severity.ERROR: types.DiagnosticSeverity.Error,
    Severity.WARNING: types.DiagnosticSeverity.Warning,
    Severity.NOTE: types.DiagnosticSeverity.Information,
}


def build() -> LanguageServer:
    """A server that answers from the checker; open texts count as they stand in the editor."""
    server = LanguageServer("anisefront", "1")

    def checked(uri: str) -> CheckResult:
        texts = {
            os.path.realpath(to_fs_path(each)): document.source.encode()
            for each, document in server.workspace.text_documents.items()
        }

        def read(path: str) -> bytes:
            known = texts.get(os.path.realpath(path))
            if known is not None:
                return known
            with open(path, "rb") as file:
                return file.read()

        return checker.check(loader.load(to_fs_path(uri), read), os.environ)

    def publish(uri: str) -> None:
        found = checked(uri)
        rows = []
        for problem in found.problems:
            if problem.location.file:  # in an included file: shown at the include that led there
                asked = found.loaded.include_chain(problem.location)[-1]
                where, text = asked, f"{found.loaded.format_location(problem.location)}: {problem.message}"
            else:
                where, text = problem.location, problem.message
            rows.append(
                types.Diagnostic(
                    _range(where, problem.width),
                    text + (f" - {problem.suggestion}" if problem.suggestion else ""),
                    _SEVERITY[problem.severity],
                    problem.code,
                    source="anisefront",
                )
            )
        server.text_document_publish_diagnostics(types.PublishDiagnosticsParams(uri, rows))

    @server.feature(types.TEXT_DOCUMENT_DID_OPEN)
    def opened(params: types.DidOpenTextDocumentParams) -> None:
        publish(params.text_document.uri)

    @server.feature(types.TEXT_DOCUMENT_DID_CHANGE)
    def changed(params: types.DidChangeTextDocumentParams) -> None:
        publish(params.text_document.uri)

    @server.feature(types.TEXT_DOCUMENT_HOVER)
    def hover(params: types.HoverParams) -> types.Hover | None:
        text = editor.hover(checked(params.text_document.uri), 0, *_place(params.position))
        return types.Hover(types.MarkupContent(types.MarkupKind.Markdown, text)) if text else None

    @server.feature(types.TEXT_DOCUMENT_DEFINITION)
    def definition(params: types.DefinitionParams) -> types.Location | None:
        found = checked(params.text_document.uri)
        place = editor.definition(found, 0, *_place(params.position))
        if place is None:
            return None
        path = os.path.abspath(found.loaded.sources[place.file].path)
        return types.Location(from_fs_path(path), _range(place, 1))

    @server.feature(types.TEXT_DOCUMENT_COMPLETION)
    def complete(params: types.CompletionParams) -> list[types.CompletionItem]:
        words = editor.complete(checked(params.text_document.uri), 0, *_place(params.position))
        return [types.CompletionItem(word, detail=text) for word, text in words]

    @server.feature(types.TEXT_DOCUMENT_FORMATTING)
    def formatting(params: types.DocumentFormattingParams) -> list[types.TextEdit]:
        source = server.workspace.get_text_document(params.text_document.uri).source
        document, problems = parse(source)
        if any(problem.severity is Severity.ERROR for problem in problems):
            return []
        whole = types.Range(types.Position(0, 0), types.Position(source.count("\n") + 1, 0))
        return [types.TextEdit(whole, formatter.format_document(document))]

    return server


def _range(place: Location, width: int) -> types.Range:
    line, column = place.line - 1, place.column - 1
    return types.Range(types.Position(line, column), types.Position(line, column + width))


def _place(position: types.Position) -> tuple[int, int]:
    return position.line + 1, position.character + 1
