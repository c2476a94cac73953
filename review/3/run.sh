#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review
exec python3 review/3/case.py
