"""The language server: `anisefront.config.editor` over the Language Server Protocol, with `pygls`."""

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
    """Return a language server that checks open documents with their unsaved changes."""
    server = LanguageServer("anisefront", "1")

    def checked(uri: str) -> CheckResult:
        texts = {
            os.path.realpath(to_fs_path(document_uri)): document.source.encode()
            for document_uri, document in server.workspace.text_documents.items()
        }

        def read(path: str) -> bytes:
            open_text = texts.get(os.path.realpath(path))
            if open_text is not None:
                return open_text
            with open(path, "rb") as file:
                return file.read()

        return checker.check(loader.load(to_fs_path(uri), read), os.environ)

    def publish(uri: str) -> None:
        result = checked(uri)
        diagnostics = []
        for problem in result.problems:
            if problem.location.file:  # in an included file: shown at the include in this document
                include = result.loaded.include_chain(problem.location)[-1]
                location, text = include, f"{result.loaded.format_location(problem.location)}: {problem.message}"
            else:
                location, text = problem.location, problem.message
            diagnostics.append(
                types.Diagnostic(
                    _range(location, problem.width),
                    text + (f" - {problem.suggestion}" if problem.suggestion else ""),
                    _SEVERITY[problem.severity],
                    problem.code,
                    source="anisefront",
                )
            )
        server.text_document_publish_diagnostics(types.PublishDiagnosticsParams(uri, diagnostics))

    @server.feature(types.TEXT_DOCUMENT_DID_OPEN)
    def opened(params: types.DidOpenTextDocumentParams) -> None:
        publish(params.text_document.uri)

    @server.feature(types.TEXT_DOCUMENT_DID_CHANGE)
    def changed(params: types.DidChangeTextDocumentParams) -> None:
        publish(params.text_document.uri)

    @server.feature(types.TEXT_DOCUMENT_HOVER)
    def hover(params: types.HoverParams) -> types.Hover | None:
        text = editor.hover(checked(params.text_document.uri), 0, *_cursor(params.position))
        return types.Hover(types.MarkupContent(types.MarkupKind.Markdown, text)) if text else None

    @server.feature(types.TEXT_DOCUMENT_DEFINITION)
    def definition(params: types.DefinitionParams) -> types.Location | None:
        result = checked(params.text_document.uri)
        location = editor.definition(result, 0, *_cursor(params.position))
        if location is None:
            return None
        path = os.path.abspath(result.loaded.sources[location.file].path)
        return types.Location(from_fs_path(path), _range(location, 1))

    @server.feature(types.TEXT_DOCUMENT_COMPLETION)
    def complete(params: types.CompletionParams) -> list[types.CompletionItem]:
        words = editor.complete(checked(params.text_document.uri), 0, *_cursor(params.position))
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


def _range(location: Location, width: int) -> types.Range:
    line, column = location.line - 1, location.column - 1
    return types.Range(types.Position(line, column), types.Position(line, column + width))


def _cursor(position: types.Position) -> tuple[int, int]:
    return position.line + 1, position.character + 1
