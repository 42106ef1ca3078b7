#!/bin/sh
# The stand-ins are Python files that need the standard library alone: nothing is installed, they are only checked.
set -e
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../.venv/bin/python" - "$here" <<'END'
import ast
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).rglob("*.py")):
    ast.parse(path.read_text(), str(path))
END
