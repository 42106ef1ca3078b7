#!/bin/sh
# Checks that the stand-ins of the second review, which are Python files without dependencies, can be run.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -B -c '
import ast, pathlib
for path in [pathlib.Path("standins2.py"), *(pathlib.Path(f"{number}/case.py") for number in range(6, 11))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
import standins2
'
