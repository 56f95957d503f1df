#!/bin/sh
# The scripts' stand-ins are Python (review/common/standin.py, standard library only). Nothing is built; this checks
# that the interpreter can read them.
cd "$(dirname "$0")/.." && python3 -c 'import ast, glob
for path in glob.glob("review/**/*.py", recursive=True):
    ast.parse(open(path).read(), path)'
