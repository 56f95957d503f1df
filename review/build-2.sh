#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python without dependencies, so they are only checked and compiled
# into a temporary folder.
set -e
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import pathlib, py_compile, sys, tempfile, tomllib  # tomllib: Python 3.11 or later, as on Debian 12
with tempfile.TemporaryDirectory() as folder:
    for number, path in enumerate(sorted([*pathlib.Path("review/standins-2").glob("*.py"),
                                          *pathlib.Path("review").glob("[0-9]*/case.py")])):
        py_compile.compile(str(path), cfile=f"{folder}/{number}.pyc", doraise=True)
        print("checked", path)
EOF
