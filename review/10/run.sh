#!/bin/sh
# Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1
export TROUBLE PYTHONDONTWRITEBYTECODE
exec python3 case.py
