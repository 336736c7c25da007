#!/bin/sh
# Builds every stand-in that a script of this folder starts. They are Python and need only the standard library (3.11 or
# later): there is nothing to compile, so this only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 of version 3.11 or later is needed" >&2; exit 1; }
for file in stand-ins/*.py [0-9]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
