#!/bin/sh
# Builds the stand-ins of the cases: Python modules that need the standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q standins
