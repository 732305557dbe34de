#!/bin/sh
# The stand-ins of review/6 to review/10 are Python (3.11 or newer) without dependencies:
# nothing is compiled, only their syntax is checked.
cd "$(dirname "$0")" && exec python3 -c '
import ast, pathlib
for path in [pathlib.Path("standin2.py"), *sorted(pathlib.Path().glob("[0-9]*/case.py"))]:
    ast.parse(path.read_text(), str(path))
'
