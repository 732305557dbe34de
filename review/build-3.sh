#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs that use only the
# standard library, so this checks that they parse and that the libraries of the deploy
# file's build are there.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/standin3.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
