#!/bin/bash
# Checks the stand-ins that the scripts of cases 11 to 15 start. They are Python and run in the process of the script, so
# there is nothing to build beside the deploy file's own build.
cd "$(dirname "$0")" || exit 1
for file in standins-3/*.py 1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
