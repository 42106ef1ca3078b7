"""Editor support, and the language server as a process, driven by the client of pygls over pipes."""

import asyncio
import pathlib
import sys

import pytest
from lsprotocol import types
from pygls.lsp.client import LanguageClient
from test_config_corpus import GOOD, check_text

from anisefront.config import editor

ROOT = pathlib.Path(__file__).parent.parent


def position_of(text, words, offset=0):
    """Return line and column, counted from 1, of words in a text, plus an offset."""
    start = text.index(words) + offset
    return text.count("\n", 0, start) + 1, start - text.rfind("\n", 0, start)


@pytest.mark.parametrize(
    ("words", "offset", "expected"),
    [
        ("route GET", 0, "**route**: Which class"),
        ("class view pool", 0, "**route class** (name): the class"),
        ("view pool", 0, "**route class**"),
        ("    scope", 5, "**class scope**"),
        ("cell", 0, "**class scope**"),
        ("drain", 0, "**drain**"),
        ("language", 1, "**language**"),
        ("# none", 0, ""),
    ],
)
def test_hover(words, offset, expected):
    text = GOOD + "\n# none\n"
    assert (
        editor.hover(check_text(text), 0, *position_of(text, words, offset)).startswith(expected)
        if expected
        else editor.hover(check_text(text), 0, *position_of(text, words, offset)) == ""
    )


@pytest.mark.parametrize(
    ("words", "target"),
    [
        ("view pool", "view aim"),
        ("stalls\nroute [", "stalls roster"),
        ("small value", "small rate"),
        ("market\nroute", "market quota"),
    ],
)
def test_definition(words, target):
    location = editor.definition(check_text(GOOD), 0, *position_of(GOOD, words))
    assert (location.line, location.column) == position_of(GOOD, target)
    assert editor.definition(check_text(GOOD), 0, *position_of(GOOD, "drain")) is None


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("", {"route", "include", "quota"}),
        ("route GET /x class ", {"view", "order"}),
        ("plan x quota ", {"small"}),
        ("class new aim 1s ", {"deadline", "repeat"}),
    ],
)
def test_completion(line, words):
    text = GOOD + line + "\n"
    offered = {word for word, _ in editor.complete(check_text(text), 0, text.count("\n"), len(line) + 1)}
    assert words <= offered
    inside = GOOD.replace("    scope cell\n", "    \n")
    assert "scope" in {word for word, _ in editor.complete(check_text(inside), 0, 15, 5)}


def test_over_the_protocol(tmp_path):
    path = tmp_path / "live.conf"
    path.write_text(GOOD)
    uri = path.as_uri()

    async def run_session():
        client, diagnostics = LanguageClient("test", "1"), asyncio.Queue()

        @client.feature(types.TEXT_DOCUMENT_PUBLISH_DIAGNOSTICS)
        def published(params):
            diagnostics.put_nowait(params.diagnostics)

        await client.start_io(sys.executable, "-m", "anisefront", "config", "lsp")
        await client.initialize_async(types.InitializeParams(capabilities=types.ClientCapabilities()))
        client.initialized(types.InitializedParams())
        broken = GOOD.replace("aim 1s", "aim 1", 1)
        client.text_document_did_open(
            types.DidOpenTextDocumentParams(types.TextDocumentItem(uri, "anisefront", 1, broken))
        )
        first = await asyncio.wait_for(diagnostics.get(), 10)
        client.text_document_did_change(
            types.DidChangeTextDocumentParams(
                types.VersionedTextDocumentIdentifier(2, uri), [types.TextDocumentContentChangeWholeDocument(GOOD)]
            )
        )
        second = await asyncio.wait_for(diagnostics.get(), 10)
        line, column = position_of(GOOD, "view pool")
        position = types.Position(line - 1, column - 1)
        document = types.TextDocumentIdentifier(uri)
        hover = await client.text_document_hover_async(types.HoverParams(document, position))
        where = await client.text_document_definition_async(types.DefinitionParams(document, position))
        await client.shutdown_async(None)
        client.exit(None)
        await client.stop()
        return first, second, hover, where

    first, second, hover, where = asyncio.run(asyncio.wait_for(run_session(), 40))
    assert [
        (each.range.start.line, each.range.start.character)
        for each in first
        if each.severity == types.DiagnosticSeverity.Error
    ] == [(9, 15)] and "1ms or 1s" in first[0].message
    assert not [each for each in second if each.severity == types.DiagnosticSeverity.Error]
    assert hover.contents.value.startswith("**route class**") and where.range.start.line == 9
