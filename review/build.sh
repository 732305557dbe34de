#!/bin/sh
# Checks that the stand-ins and cases of this folder can be read by python3 (3.11 or
# newer); they use the standard library only, and nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
python3 - standin.py [0-9]*/case.py <<'P'
import ast
import sys

assert sys.version_info >= (3, 11), sys.version
for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
P
