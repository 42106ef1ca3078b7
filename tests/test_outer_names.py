"""Names that leave the process stay as they are while the code is renamed.

`tests/data/outer_names.txt` lists them. A name counts as present when the code has it as an identifier, or as a word of
a string that is no docstring; comments do not count.
"""

import ast
import pathlib
import re
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
LIST = (ROOT / "tests" / "data" / "outer_names.txt").read_text(encoding="utf-8").splitlines()
NAMES = sorted({line for line in LIST if line and not line.startswith("#")})
DOCUMENTED = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
IDENTIFIER_FIELDS = ("id", "attr", "arg", "name")


def docstrings(tree):
    """The nodes of a tree's docstrings."""
    documented = (node for node in ast.walk(tree) if isinstance(node, DOCUMENTED))
    return {id(node.body[0].value) for node in documented if ast.get_docstring(node) is not None}


def texts(tree):
    """Every identifier of a tree, and every string that is no docstring."""
    left_out = docstrings(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes) and id(node) not in left_out:
            yield node.value if isinstance(node.value, str) else node.value.decode("latin-1")
        yield from (getattr(node, name) for name in IDENTIFIER_FIELDS if isinstance(getattr(node, name, None), str))


@pytest.fixture(scope="module")
def sources():
    """All texts of the package, the benchmarks and the deploy file's keys, one a line."""
    paths = [path for folder in ("anisefront", "benchmarks") for path in (ROOT / folder).rglob("*.py")]
    found = {text for path in paths for text in texts(ast.parse(path.read_text(encoding="utf-8")))}
    return "\n".join(found | tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")).keys())


def pattern(name):
    """A whole word; a prefix of counters, which ends in an underscore, goes on."""
    end = "" if name.endswith("_") else r"(?!\w)"
    return rf"(?<!\w){re.escape(name)}{end}"


def test_the_list_holds_the_names_of_every_boundary():
    assert len(NAMES) > 1000
    assert sum(line.startswith("# ") for line in LIST) > 20


def test_no_listed_name_has_left_the_sources(sources):
    missing = [name for name in NAMES if not re.search(pattern(name), sources)]
    assert missing == []
