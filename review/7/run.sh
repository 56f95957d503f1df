#!/bin/sh
# TROUBLE=0 does the same without the disruption; the case and the stand-ins read it from the environment.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." && exec python3 review/7/case.py
